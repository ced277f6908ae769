import type { InstanceId } from '../ids/InstanceId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import type { Verdict } from '../verdict/Verdict.js'
import { createRequestId } from './createRequestId.js'
import { parseRequestId } from './parseRequestId.js'
import type { RequestId } from './RequestId.js'
import type { RequestIdClaimResult } from './RequestIdClaimResult.js'

/** Time for which the record of an id is kept after its issue: 1 h. */
const DEFAULT_RETENTION = 3_600_000

/** Records kept at most. */
const DEFAULT_MAXIMUM_RECORDS = 100_000

/** Sequence of ids that have no record. */
const UNRECORDED_SEQUENCE = 0

/** Digits of the count that stands in for the random part of such an id. */
const UNRECORDED_DIGITS = 16

/** Claims of one id that may end as not run before it is given up. */
const MAXIMUM_RELEASES = 16

/**
 * Options of {@link RequestIdTable}.
 *
 * @internal
 */
interface Options {
	readonly timers: TimerService
	/** The incarnation that issues. */
	readonly issuer: InstanceId
	/** Makes the random part of an id: 16 to 64 hex digits. */
	readonly createRandom: () => string
	/** Milliseconds for which a record is kept after the issue (default 1 h). */
	readonly retention?: Milliseconds
	/** Records kept at most; the oldest goes first (default 100,000). */
	readonly maximumRecords?: number
}

interface IssuedId {
	readonly id: RequestId
	readonly sequence: number
	readonly issuedAt: Milliseconds
	/** Claims that ended as not run; a late copy of one is not let in again. */
	readonly released: Set<string>
	state:
		| { readonly type: 'open' }
		| { readonly type: 'running'; readonly claimant: string }
		| { readonly type: 'settled'; readonly verdict: Exclude<Verdict, 'not-run'> }
}

/**
 * Records of the request ids that one incarnation issued, at the issuer.
 *
 * At most one claim of an id is let in at a time, and none after one that may have run. Rows are
 * dropped oldest first, so an id below the oldest row is known to be expired and is never taken for
 * a new one.
 *
 * @public
 */
export class RequestIdTable {
	/** Rows by id, in the order of their sequences. */
	private readonly records = new Map<RequestId, IssuedId>()
	private readonly retention: Milliseconds
	private readonly maximumRecords: number
	private unrecordedCount = 0
	private nextSequence = UNRECORDED_SEQUENCE + 1
	/** Sequences below it have no row any more. */
	private oldestSequence = UNRECORDED_SEQUENCE + 1

	constructor(private readonly options: Options) {
		this.retention = options.retention ?? DEFAULT_RETENTION
		this.maximumRecords = options.maximumRecords ?? DEFAULT_MAXIMUM_RECORDS
	}

	/** Records kept now. */
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
	 * Makes an id for a request that came without one. It has no record, so that a claim of it is
	 * answered as expired, and it need not be hard to guess.
	 */
	createUnrecordedId(): RequestId {
		const random = (this.unrecordedCount++).toString(16).padStart(UNRECORDED_DIGITS, '0')
		return createRequestId({ issuer: this.options.issuer, sequence: UNRECORDED_SEQUENCE, random })
	}

	/**
	 * Claims an id for one submission. Idempotent per claimant, so a claim whose answer was lost can
	 * be sent again.
	 *
	 * @param claimant - names the submission, unique over all entry instances
	 */
	claim(id: RequestId, claimant: string): RequestIdClaimResult {
		this.dropExpired()
		const row = this.records.get(id)
		if (!row) return this.getMissingIdResult(id)
		const { state } = row
		switch (state.type) {
			case 'settled':
				return state
			case 'running':
				return state.claimant === claimant ? { type: 'first' } : { type: 'running' }
			case 'open': {
				if (row.released.has(claimant)) return { type: 'running' }
				if (row.released.size >= MAXIMUM_RELEASES) return { type: 'expired' }
				row.state = { type: 'running', claimant }
				return { type: 'first' }
			}
		}
	}

	/**
	 * Records how a claimed request ended. After `not-run` the id can be claimed again by another
	 * submission. Idempotent; passed over when the claimant does not hold the claim.
	 */
	settle(id: RequestId, claimant: string, verdict: Verdict): void {
		const row = this.records.get(id)
		if (!row || row.state.type === 'settled') return
		if (verdict === 'not-run') {
			this.release(row, claimant)
			return
		}
		if (row.state.type !== 'running' || row.state.claimant !== claimant) return
		row.state = { type: 'settled', verdict }
	}

	/** A claim may arrive after the claimant gave it up, so the release is noted in every state. */
	private release(row: IssuedId, claimant: string): void {
		if (row.released.size < MAXIMUM_RELEASES) row.released.add(claimant)
		if (row.state.type === 'running' && row.state.claimant === claimant) {
			row.state = { type: 'open' }
		}
	}

	private getMissingIdResult(id: RequestId): RequestIdClaimResult {
		const parts = parseRequestId(id)
		if (!parts) return { type: 'unknown' }
		if (parts.issuer !== this.options.issuer) return { type: 'expired' }
		return parts.sequence < this.oldestSequence ? { type: 'expired' } : { type: 'unknown' }
	}

	private dropExpired(): void {
		const expiry = this.options.timers.now() - this.retention
		for (const row of this.records.values()) {
			if (row.issuedAt > expiry) return
			this.drop(row)
		}
	}

	private dropOldest(): void {
		for (const row of this.records.values()) {
			this.drop(row)
			return
		}
	}

	private drop(row: IssuedId): void {
		this.records.delete(row.id)
		this.oldestSequence = row.sequence + 1
	}
}
