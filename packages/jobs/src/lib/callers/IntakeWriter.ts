import type { TimerService } from '@mastichead/core'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { AppendResult } from '../ports/AppendResult.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { BatchWrite } from './BatchWrite.js'
import { PendingWrite } from './PendingWrite.js'
import type { WriteResult } from './WriteResult.js'
import { orderStreams } from './orderStreams.js'

/** Delay after which an unanswered append is also tried on the next stream, in milliseconds. */
const HEDGE_DELAY = 150
/** The delay is at least this multiple of the latest append latency, to spare a slow log. */
const HEDGE_FACTOR = 1.5
/** Timeout of one append, in milliseconds. A late answer still updates the append latency. */
const APPEND_TIMEOUT = 2_000
/** Bounds of the time in which a batch must be on one of the streams, in milliseconds. */
const MINIMUM_WRITE_TIMEOUT = 950
const MAXIMUM_WRITE_TIMEOUT = 2_000
/** Within these bounds, the time is this multiple of the latest append latency. */
const WRITE_TIMEOUT_FACTOR = 2.5
/** A stream is tried last for this long after a failed append, in milliseconds. */
const FAILURE_COOLDOWN = 5_000
/** Append latency from which the log counts as slow, in milliseconds. */
const SLOW_APPEND_LATENCY = 80
/** Streams that must fail without a success in between until the log counts as out of reach. */
const OUT_OF_REACH_STREAMS = 3
const OUT_OF_REACH_REASON = 'log out of reach'
const MAXIMUM_APPENDS_IN_FLIGHT = 4
const MAXIMUM_RECORDS_PER_APPEND = 100
/** Size from which a batch takes no further record, in bytes: 0.2 s of a link of 10 Mbit/s. */
const FULL_BATCH_BYTES = 250_000

/**
 * Appends the records of callers to one of the intake streams, and to another one if the first does
 * not answer. Records are idempotent, so one may be appended more than once, to any stream.
 *
 * @public
 */
export class IntakeWriter {
	/** Writes that have not ended, by the keys of their records. */
	private readonly pendingWrites = new Map<string, PendingWrite>()
	/** Pending writes that have not started. */
	private readonly queue: PendingWrite[] = []
	private appendsInFlight = 0
	/** Latency of the latest successful append, in milliseconds. */
	private appendLatency = 0
	private readonly cooldownUntil = new Map<IntakeStream, number>()
	/** Streams on which an append failed since the latest one that succeeded on any. */
	private readonly failedStreams = new Set<IntakeStream>()

	constructor(
		private readonly log: MetadataLog,
		private readonly timers: TimerService,
		private readonly events: EventLog,
		private readonly followers: ReadonlyMap<IntakeStream, StreamFollower>,
		/** Number of this instance, by which the instances spread over the streams of a slow log. */
		private readonly instanceNumber = 0
	) {}

	/**
	 * Appends a record, batched with others. Concurrent calls for one key share one write. While the log is
	 * out of reach, one batch at a time tries it, and all other records are refused at once.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	write(record: LogRecord, deadline: number): Promise<WriteResult> {
		const pendingWrite = this.pendingWrites.get(record.key)
		if (pendingWrite) return pendingWrite.wait(deadline)
		if (deadline <= this.timers.now()) {
			return Promise.resolve({ kind: 'not-stored', reason: 'no time left to append' })
		}
		if (this.isOutOfReach && this.appendsInFlight > 0) {
			return Promise.resolve({ kind: 'not-stored', reason: OUT_OF_REACH_REASON })
		}
		const write = new PendingWrite(record, this.timers)
		this.pendingWrites.set(record.key, write)
		this.queue.push(write)
		const result = write.wait(deadline)
		this.flush()
		return result
	}

	private get isOutOfReach(): boolean {
		return this.failedStreams.size >= OUT_OF_REACH_STREAMS
	}

	/** Refuses what waits and has not been sent. */
	private refuseQueue(): void {
		for (const write of this.queue.splice(0)) {
			this.pendingWrites.delete(write.record.key)
			write.settle({ kind: 'not-stored', reason: OUT_OF_REACH_REASON })
		}
	}

	private flush(): void {
		while (this.appendsInFlight < MAXIMUM_APPENDS_IN_FLIGHT) {
			const batch = this.takeBatch()
			if (batch.length === 0) return
			this.appendsInFlight += 1
			void this.writeBatch(batch).finally(() => {
				this.appendsInFlight -= 1
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
				bytes += write.record.value?.length ?? 0
			} else this.pendingWrites.delete(write.record.key)
		}
		return batch
	}

	private async writeBatch(batch: readonly PendingWrite[]): Promise<void> {
		for (const write of batch) write.start()
		const result = await this.writeRecords(batch)
		for (const write of batch) {
			this.pendingWrites.delete(write.record.key)
			write.settle(result)
		}
	}

	private writeRecords(batch: readonly PendingWrite[]): Promise<WriteResult> {
		const records = batch.map((write) => write.record)
		const batchWrite = new BatchWrite({
			streams: this.getStreamsByPreference(),
			append: (stream) => this.append(stream, records),
			getHedgeDelay: () => Math.max(HEDGE_DELAY, this.appendLatency * HEDGE_FACTOR),
			isAwaited: () => batch.some((write) => write.isAwaited),
			timers: this.timers,
		})
		const timeout = Math.max(MINIMUM_WRITE_TIMEOUT, this.appendLatency * WRITE_TIMEOUT_FACTOR)
		return batchWrite.start(Math.min(MAXIMUM_WRITE_TIMEOUT, timeout))
	}

	private async append(stream: IntakeStream, records: readonly LogRecord[]): Promise<AppendResult> {
		const sentAt = this.timers.now()
		const result = await this.log.append(stream, records, APPEND_TIMEOUT)
		if (result.kind !== 'appended') {
			this.recordFailure(stream, result.reason)
			return result
		}
		this.appendLatency = this.timers.now() - sentAt
		if (this.isOutOfReach) this.events.info('intake-regained', { stream })
		this.failedStreams.clear()
		const { offset } = result
		const entries = records.map((record, index) => ({ ...record, offset: offset + index }))
		this.followers.get(stream)?.applyAppended(entries)
		return result
	}

	private recordFailure(stream: IntakeStream, reason: string): void {
		const now = this.timers.now()
		const wasCoolingDown = (this.cooldownUntil.get(stream) ?? 0) > now
		this.cooldownUntil.set(stream, now + FAILURE_COOLDOWN)
		this.countFailure(stream, reason)
		if (!wasCoolingDown)
			this.events.warn('intake-distrusted', { stream, reason, duration: FAILURE_COOLDOWN })
	}

	private countFailure(stream: IntakeStream, reason: string): void {
		const wasOutOfReach = this.isOutOfReach
		this.failedStreams.add(stream)
		if (!this.isOutOfReach) return
		if (!wasOutOfReach) this.events.warn('intake-out-of-reach', { stream, reason })
		this.refuseQueue()
	}

	private getStreamsByPreference(): IntakeStream[] {
		const now = this.timers.now()
		const isCoolingDown = (stream: IntakeStream): boolean =>
			(this.cooldownUntil.get(stream) ?? 0) > now
		const all = [...this.followers.keys()]
		const isSlow = this.appendLatency > SLOW_APPEND_LATENCY || all.some(isCoolingDown)
		const streams = orderStreams(all, this.instanceNumber, isSlow)
		return streams.sort((a, b) => Number(isCoolingDown(a)) - Number(isCoolingDown(b)))
	}
}
