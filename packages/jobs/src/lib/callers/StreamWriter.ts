import type { TimerService } from '@mastichead/core'
import type { IntakeRecord } from '../intake/IntakeRecord.js'
import { IntakeRecords } from '../intake/IntakeRecords.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { AppendResult } from '../ports/AppendResult.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { BatchWrite } from './BatchWrite.js'
import type { LogReachability } from './LogReachability.js'
import { PendingWrite } from './PendingWrite.js'
import type { WriteResult } from './WriteResult.js'

/** Delay after which an append without success is repeated, in milliseconds. */
const HEDGE_DELAY = 150
/** The delay is at least this multiple of the latest append latency, to spare a slow log. */
const HEDGE_FACTOR = 1.5
/** Maximum number of appends of one batch. */
const MAXIMUM_ATTEMPTS = 3
/** Timeout of one append, in milliseconds. A late answer still updates the append latency. */
const APPEND_TIMEOUT = 2_000
/** Bounds of the time in which a batch must be in the stream, in milliseconds. */
const MINIMUM_WRITE_TIMEOUT = 950
const MAXIMUM_WRITE_TIMEOUT = 2_000
/** Within these bounds, the time is this multiple of the latest append latency. */
const WRITE_TIMEOUT_FACTOR = 2.5
/** Append latency from which the stream is read while an append is under way, in milliseconds. */
const SLOW_APPEND_LATENCY = 80
/** Appends that must fail without a success in between until the stream counts as out of reach. */
const OUT_OF_REACH_FAILURES = 3
/** Delay after a failed read of what comes before a record, in milliseconds. */
const READ_RETRY_DELAY = 150
const OUT_OF_REACH_REASON = 'log out of reach'
const MAXIMUM_BATCHES_IN_FLIGHT = 2
const MAXIMUM_RECORDS_PER_APPEND = 100
/** Size from which a batch takes no further record, in bytes: 0.2 s of a link of 10 Mbit/s. */
const FULL_BATCH_BYTES = 250_000

/**
 * Appends the records of callers to one intake stream, in batches. Records are idempotent, so one may be
 * appended more than once.
 *
 * @internal
 */
export class StreamWriter {
	/** Writes that have not ended, by the identity of their records. */
	private readonly pendingWrites = new Map<string, PendingWrite>()
	/** Pending writes that have not started. */
	private readonly queue: PendingWrite[] = []
	private batchesInFlight = 0
	/** Appends that have failed since the latest success. */
	private failures = 0

	constructor(
		private readonly stream: IntakeStream,
		private readonly options: {
			readonly log: MetadataLog
			readonly timers: TimerService
			readonly events: EventLog
			readonly follower: StreamFollower
			/** Shared by the writers of all streams. */
			readonly reachability: LogReachability
			/** Returns a name that is unique for each append of all instances. */
			readonly createCopyName: () => string
		}
	) {}

	/**
	 * Appends a record, batched with others. Concurrent calls for records of one identity share one write.
	 * While the stream is out of reach, one batch at a time tries it, and all other records are refused at once.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	write(record: IntakeRecord, deadline: number): Promise<WriteResult> {
		const { timers } = this.options
		const pendingWrite = this.pendingWrites.get(record.identity)
		if (pendingWrite) return pendingWrite.wait(deadline)
		if (deadline <= timers.now()) {
			return Promise.resolve({ kind: 'not-stored', reason: 'no time left to append' })
		}
		if (this.mustRefuse) {
			return Promise.resolve({ kind: 'not-stored', reason: OUT_OF_REACH_REASON })
		}
		const write = new PendingWrite(record, timers)
		this.pendingWrites.set(record.identity, write)
		this.queue.push(write)
		const result = write.wait(deadline)
		this.flush()
		return result
	}

	/**
	 * Deletes records.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	remove(keys: readonly string[], deadline: number): Promise<WriteResult> {
		const records = keys.map((key) => ({ key, value: undefined }))
		const { timers, follower } = this.options
		return this.startWrite(
			() => records,
			() => deadline > timers.now(),
			Math.min(this.getWriteTimeout(), deadline - timers.now()),
			(entries) => void follower.applyInOrder(entries)
		)
	}

	/** Whether nothing more is sent for now, since one batch is already trying what has failed. */
	private get mustRefuse(): boolean {
		const { follower, reachability } = this.options
		if (reachability.isOutOfReach && reachability.batchesInFlight > 0) return true
		// Without reads no submission can be decided either.
		return (this.isOutOfReach || !follower.available) && this.batchesInFlight > 0
	}

	private get isOutOfReach(): boolean {
		return this.failures >= OUT_OF_REACH_FAILURES
	}

	/** Refuses what waits and has not been sent. */
	private refuseQueue(): void {
		for (const write of this.queue.splice(0)) {
			this.pendingWrites.delete(write.record.identity)
			write.settle({ kind: 'not-stored', reason: OUT_OF_REACH_REASON })
		}
	}

	private flush(): void {
		while (this.batchesInFlight < MAXIMUM_BATCHES_IN_FLIGHT) {
			const batch = this.takeBatch()
			if (batch.length === 0) return
			this.batchesInFlight += 1
			void this.writeBatch(batch).finally(() => {
				this.batchesInFlight -= 1
				this.flush()
			})
		}
	}

	/** Takes the next writes from the queue, and drops those whose callers do not wait any more. */
	private takeBatch(): PendingWrite[] {
		const batch: PendingWrite[] = []
		let bytes = 0
		while (batch.length < MAXIMUM_RECORDS_PER_APPEND && bytes < FULL_BATCH_BYTES) {
			const write = this.queue.shift()
			if (!write) return batch
			if (write.isAwaited) {
				batch.push(write)
				bytes += write.record.value.length
			} else this.pendingWrites.delete(write.record.identity)
		}
		return batch
	}

	private async writeBatch(batch: readonly PendingWrite[]): Promise<void> {
		const { reachability } = this.options
		for (const write of batch) write.start()
		reachability.batchesInFlight += 1
		let appended: readonly LogEntry[] = []
		const result = await this.startWrite(
			() => this.createCopies(batch),
			() => batch.some((write) => write.isAwaited),
			this.getWriteTimeout(),
			(entries) => {
				// A further copy that is stored as well changes nothing.
				if (appended.length === 0) appended = entries
			}
		)
		reachability.batchesInFlight -= 1
		if (result.kind === 'unclear') this.countFailure(result.reason)
		// The next batch need not wait until this one has been read.
		void this.settle(batch, result, appended)
	}

	private async settle(
		batch: readonly PendingWrite[],
		result: WriteResult,
		appended: readonly LogEntry[]
	): Promise<void> {
		const isRead = result.kind !== 'stored' || (await this.readThrough(batch, appended))
		for (const write of batch) {
			this.pendingWrites.delete(write.record.identity)
			write.settle(isRead ? result : { kind: 'unclear', reason: 'records before it not read' })
		}
	}

	/**
	 * Reads everything that comes before appended records, for as long as a caller waits.
	 *
	 * @returns whether it has been read and applied
	 */
	private async readThrough(
		batch: readonly PendingWrite[],
		appended: readonly LogEntry[]
	): Promise<boolean> {
		const { follower, timers } = this.options
		while (batch.some((write) => write.isAwaited)) {
			if (await follower.applyInOrder(appended)) return true
			await new Promise<void>((resolve) => {
				timers.after(READ_RETRY_DELAY, resolve)
			})
		}
		return false
	}

	private createCopies(batch: readonly PendingWrite[]): LogRecord[] {
		const name = this.options.createCopyName()
		return batch.map(({ record }) => IntakeRecords.createCopy(record, name))
	}

	private startWrite(
		createRecords: () => readonly LogRecord[],
		isAwaited: () => boolean,
		timeout: number,
		onAppended: (entries: readonly LogEntry[]) => void
	): Promise<WriteResult> {
		const { reachability } = this.options
		const batchWrite = new BatchWrite({
			attempts: MAXIMUM_ATTEMPTS,
			append: () => this.append(createRecords(), onAppended),
			getHedgeDelay: () => Math.max(HEDGE_DELAY, reachability.appendLatency * HEDGE_FACTOR),
			isAwaited,
			timers: this.options.timers,
		})
		return batchWrite.start(timeout)
	}

	private getWriteTimeout(): number {
		const { appendLatency } = this.options.reachability
		const timeout = Math.max(MINIMUM_WRITE_TIMEOUT, appendLatency * WRITE_TIMEOUT_FACTOR)
		return Math.min(MAXIMUM_WRITE_TIMEOUT, timeout)
	}

	private async append(
		records: readonly LogRecord[],
		onAppended: (entries: readonly LogEntry[]) => void
	): Promise<AppendResult> {
		const { log, timers, follower, reachability } = this.options
		const sentAt = timers.now()
		// With a slow log, the read of what comes before the records would double the time of the answer.
		if (reachability.appendLatency > SLOW_APPEND_LATENCY) void follower.readToEnd()
		const result = await log.append(this.stream, records, APPEND_TIMEOUT)
		if (result.kind !== 'appended') {
			this.countFailure(result.reason)
			return result
		}
		reachability.appendLatency = timers.now() - sentAt
		this.recordSuccess()
		const { offset } = result
		onAppended(records.map((record, index) => ({ ...record, offset: offset + index })))
		return result
	}

	private recordSuccess(): void {
		const { reachability, events } = this.options
		if (reachability.isOutOfReach) events.info('intake-regained', { stream: 'all' })
		if (this.isOutOfReach) events.info('intake-regained', { stream: this.stream })
		this.failures = 0
		reachability.recordSuccess()
	}

	private countFailure(reason: string): void {
		const { reachability, events } = this.options
		const { stream } = this
		const [wasLogLost, wasLost] = [reachability.isOutOfReach, this.isOutOfReach]
		this.failures += 1
		reachability.recordFailure(stream)
		if (!wasLogLost && reachability.isOutOfReach)
			events.warn('intake-out-of-reach', { stream: 'all', reason })
		if (!this.isOutOfReach) return
		if (!wasLost) events.warn('intake-out-of-reach', { stream, reason })
		this.refuseQueue()
	}
}
