import type { InstanceId } from '../ids/InstanceId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import type { Verdict } from '../verdict/Verdict.js'
import { createRequestId } from './createRequestId.js'
import { parseRequestId } from './parseRequestId.js'
import type { RequestId } from './RequestId.js'
import type { RequestIdClaimResult } from './RequestIdClaimResult.js'

/** Milliseconds for which the record of an id is kept after it was issued: 1 h. */
const DEFAULT_RETENTION = 3_600_000

/** Maximum number of records. */
const DEFAULT_MAXIMUM_RECORDS = 100_000

/** Sequence of ids that have no record. */
const UNRECORDED_SEQUENCE = 0

/** Hex digits of the counter that replaces the random part of an unrecorded id. */
const UNRECORDED_DIGITS = 16

/** Claims of one id that may end as not run; after that the id counts as expired. */
const MAXIMUM_RELEASES = 16

/**
 * Options of {@link RequestIdTable}.
 *
 * @internal
 */
interface Options {
	readonly timers: TimerService
	/** Incarnation that issues the ids. */
	readonly issuer: InstanceId
	/** Creates the random part of an id: 16 to 64 hex digits. */
	readonly createRandom: () => string
	/** Milliseconds for which a record is kept after the id was issued (default 1 h). */
	readonly retention?: Milliseconds
	/** Maximum number of records; the oldest is dropped first (default 100,000). */
	readonly maximumRecords?: number
}

interface IssuedId {
	readonly id: RequestId
	readonly sequence: number
	readonly issuedAt: Milliseconds
	/** Claimants whose claim ended as not run; a late duplicate of such a claim is refused. */
	readonly released: Set<string>
	state:
		| { readonly type: 'open' }
		| { readonly type: 'running'; readonly claimant: string }
		| { readonly type: 'settled'; readonly verdict: Exclude<Verdict, 'not-run'> }
}

/**
 * Tracks the request ids that one incarnation has issued.
 *
 * An id is granted to at most one claimant at a time, and to none after one may have run. Records
 * are dropped oldest first, so an id below the oldest record is known to be expired and is never
 * mistaken for a new one.
 *
 * @public
 */
export class RequestIdTable {
	/** Records by id, in the order of their sequences. */
	private readonly records = new Map<RequestId, IssuedId>()
	private readonly retention: Milliseconds
	private readonly maximumRecords: number
	private unrecordedCount = 0
	private nextSequence = UNRECORDED_SEQUENCE + 1
	/** Ids with a lower sequence no longer have a record. */
	private oldestSequence = UNRECORDED_SEQUENCE + 1

	constructor(private readonly options: Options) {
		this.retention = options.retention ?? DEFAULT_RETENTION
		this.maximumRecords = options.maximumRecords ?? DEFAULT_MAXIMUM_RECORDS
	}

	/** Number of records. */
	get size(): number {
		return this.records.size
	}

	/** Issues a new id. */
	issue(): RequestId {
		this.dropExpired()
		const sequence = this.nextSequence++
		const { issuer, createRandom } = this.options
		const id = createRequestId({ issuer, sequence, random: createRandom() })
		const issuedAt = this.options.timers.now()
		this.records.set(id, { id, sequence, issuedAt, released: new Set(), state: { type: 'open' } })
		if (this.records.size > this.maximumRecords) this.dropOldest()
		return id
	}

	/**
	 * Creates an id for a request that was sent without one. It has no record, so claiming it always
	 * returns `expired`, and it need not be hard to guess.
	 */
	createUnrecordedId(): RequestId {
		const random = (this.unrecordedCount++).toString(16).padStart(UNRECORDED_DIGITS, '0')
		return createRequestId({ issuer: this.options.issuer, sequence: UNRECORDED_SEQUENCE, random })
	}

	/**
	 * Claims an id for one submission. Idempotent per claimant, so a claim can be repeated if its
	 * answer was lost.
	 *
	 * @param claimant - id of the submission, unique across all entry instances
	 */
	claim(id: RequestId, claimant: string): RequestIdClaimResult {
		this.dropExpired()
		const record = this.records.get(id)
		if (!record) return this.getMissingIdResult(id)
		const { state } = record
		switch (state.type) {
			case 'settled':
				return state
			case 'running':
				return state.claimant === claimant ? { type: 'first' } : { type: 'running' }
			case 'open': {
				if (record.released.has(claimant)) return { type: 'running' }
				if (record.released.size >= MAXIMUM_RELEASES) return { type: 'expired' }
				record.state = { type: 'running', claimant }
				return { type: 'first' }
			}
		}
	}

	/**
	 * Records how a claimed request ended. After `not-run` another submission can claim the id.
	 * Idempotent. Ignored if the claimant does not hold the claim, except for `not-run`, which may
	 * arrive before the claim itself.
	 */
	settle(id: RequestId, claimant: string, verdict: Verdict): void {
		const record = this.records.get(id)
		if (!record || record.state.type === 'settled') return
		if (verdict === 'not-run') {
			this.release(record, claimant)
			return
		}
		if (record.state.type !== 'running' || record.state.claimant !== claimant) return
		record.state = { type: 'settled', verdict }
	}

	/** Records the release in every state: the claim itself may arrive after its release. */
	private release(record: IssuedId, claimant: string): void {
		if (record.released.size < MAXIMUM_RELEASES) record.released.add(claimant)
		if (record.state.type === 'running' && record.state.claimant === claimant) {
			record.state = { type: 'open' }
		}
	}

	private getMissingIdResult(id: RequestId): RequestIdClaimResult {
		const parts = parseRequestId(id)
		if (!parts) return { type: 'unknown' }
		if (parts.issuer !== this.options.issuer) return { type: 'expired' }
		return parts.sequence < this.oldestSequence ? { type: 'expired' } : { type: 'unknown' }
	}

	private dropExpired(): void {
		const expiredBefore = this.options.timers.now() - this.retention
		for (const record of this.records.values()) {
			if (record.issuedAt > expiredBefore) return
			this.drop(record)
		}
	}

	private dropOldest(): void {
		for (const record of this.records.values()) {
			this.drop(record)
			return
		}
	}

	private drop(record: IssuedId): void {
		this.records.delete(record.id)
		this.oldestSequence = record.sequence + 1
	}
}
