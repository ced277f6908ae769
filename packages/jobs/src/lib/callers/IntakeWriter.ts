import type { TimerService } from '@mastichead/core'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { AppendResult } from '../ports/AppendResult.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { WriteResult } from './WriteResult.js'

/**
 * An append that has no answer after this long is tried on the next stream too, in milliseconds; after
 * this multiple of what the latest answered append took, if that is longer: a slow log is not asked
 * more often.
 */
const HEDGE_DELAY = 150
const HEDGE_FACTOR = 1.5
/** Time for one append, in milliseconds. An answer that is late still tells how slow the log is. */
const APPEND_TIMEOUT = 2_000
/** Least and longest time in which a record has to be on one of the streams, in milliseconds. */
const MINIMUM_WRITE_TIMEOUT = 950
const MAXIMUM_WRITE_TIMEOUT = 2_000
/** The time allowed is this multiple of what the latest answered append took. */
const WRITE_TIMEOUT_FACTOR = 2.5
/** A stream that has failed is tried last for this long, in milliseconds. */
const FAILURE_COOLDOWN = 5_000
/** Appends under way at once, and records in one. */
const MAXIMUM_APPENDS_IN_FLIGHT = 4
const MAXIMUM_RECORDS_PER_APPEND = 100

interface PendingWrite {
	readonly record: LogRecord
	readonly deadline: number
	readonly resolve: (verdict: WriteResult) => void
}

/**
 * Appends what callers ask for to one of the intake's streams, to another one when the first does
 * not answer. Each record is idempotent: it can be appended more than once, to any stream.
 *
 * @public
 */
export class IntakeWriter {
	private pendingWrites: PendingWrite[] = []
	private appendsInFlight = 0
	/** Milliseconds that the latest answered append took. */
	private appendLatency = 0
	private readonly cooldownUntil = new Map<IntakeStream, number>()

	constructor(
		private readonly log: MetadataLog,
		private readonly timers: TimerService,
		private readonly events: EventLog,
		private readonly followers: ReadonlyMap<IntakeStream, StreamFollower>
	) {}

	/**
	 * @param deadline - instant by which the caller needs an answer
	 */
	write(record: LogRecord, deadline: number): Promise<WriteResult> {
		return new Promise((resolve) => {
			this.pendingWrites.push({ record, deadline, resolve })
			this.flush()
		})
	}

	private flush(): void {
		while (this.appendsInFlight < MAXIMUM_APPENDS_IN_FLIGHT && this.pendingWrites.length > 0) {
			const batch = this.pendingWrites.slice(0, MAXIMUM_RECORDS_PER_APPEND)
			this.pendingWrites = this.pendingWrites.slice(MAXIMUM_RECORDS_PER_APPEND)
			this.appendsInFlight += 1
			void this.writeBatch(batch).finally(() => {
				this.appendsInFlight -= 1
				this.flush()
			})
		}
	}

	private async writeBatch(batch: readonly PendingWrite[]): Promise<void> {
		const records = batch.map((entry) => entry.record)
		const writeTimeout = Math.max(MINIMUM_WRITE_TIMEOUT, this.appendLatency * WRITE_TIMEOUT_FACTOR)
		const limit = this.timers.now() + Math.min(MAXIMUM_WRITE_TIMEOUT, writeTimeout)
		const deadline = Math.min(limit, ...batch.map((entry) => entry.deadline))
		const result = await this.writeRecords(records, deadline)
		for (const { resolve } of batch) resolve(result)
	}

	/** Tries the streams one after the other, each a little after the one before. */
	private writeRecords(records: readonly LogRecord[], deadline: number): Promise<WriteResult> {
		return new Promise((resolve) => {
			const streams = this.getStreamsByPreference()
			let started = 0
			let ended = 0
			let unknown: string | undefined
			let rejected = ''
			this.timers.after(deadline - this.timers.now(), () => {
				if (ended < started) resolve({ kind: 'unclear', reason: 'no answer in time' })
				else resolve({ kind: 'not-stored', reason: rejected })
			})
			const tryNext = (): void => {
				const stream = streams[started]
				if (stream === undefined || this.timers.now() >= deadline) return
				started += 1
				const attempt = started
				const hedgeTimer = this.timers.after(
					Math.max(HEDGE_DELAY, this.appendLatency * HEDGE_FACTOR),
					() => {
						if (started === attempt) tryNext()
					}
				)
				void this.append(stream, records).then((result) => {
					hedgeTimer.cancel()
					ended += 1
					if (result.kind === 'appended') {
						resolve({ kind: 'stored' })
						return
					}
					if (result.kind === 'unknown') unknown = result.reason
					else rejected = result.reason
					if (started === attempt) tryNext()
					if (ended < streams.length) return
					if (unknown !== undefined) resolve({ kind: 'unclear', reason: unknown })
					else resolve({ kind: 'not-stored', reason: rejected })
				})
			}
			tryNext()
		})
	}

	private async append(stream: IntakeStream, records: readonly LogRecord[]): Promise<AppendResult> {
		const sentAt = this.timers.now()
		const result = await this.log.append(stream, records, APPEND_TIMEOUT)
		if (result.kind !== 'appended') {
			this.recordFailure(stream, result.reason)
			return result
		}
		this.appendLatency = this.timers.now() - sentAt
		const { offset } = result
		const entries = records.map((record, place) => ({ ...record, offset: offset + place }))
		// Others may have appended before: what lies between is still to be read.
		this.followers.get(stream)?.applyAppended(entries, 0)
		return result
	}

	private recordFailure(stream: IntakeStream, reason: string): void {
		const now = this.timers.now()
		const known = (this.cooldownUntil.get(stream) ?? 0) > now
		this.cooldownUntil.set(stream, now + FAILURE_COOLDOWN)
		if (!known)
			this.events.warn('intake-distrusted', { stream, reason, duration: FAILURE_COOLDOWN })
	}

	private getStreamsByPreference(): IntakeStream[] {
		const now = this.timers.now()
		const isCoolingDown = (stream: IntakeStream): boolean =>
			(this.cooldownUntil.get(stream) ?? 0) > now
		const streams = [...this.followers.keys()]
		return streams.sort((a, b) => Number(isCoolingDown(a)) - Number(isCoolingDown(b)))
	}
}
