import type { JobRow } from '@mastichead/core'
import { createJobSnapshot } from '@mastichead/core'
import { JobRecords } from '../../log/JobRecords.js'
import type { StreamFollower } from '../../log/StreamFollower.js'
import type { LogRecord } from '../../ports/LogRecord.js'
import type { MetadataLog } from '../../ports/MetadataLog.js'
import type { Instant } from './Instant.js'
import type { OwnerContext } from './OwnerContext.js'
import { SuspendAwareClock } from './SuspendAwareClock.js'

/**
 * Timeouts of one append, in milliseconds: usually, and while the log is slow. Whether it is slow or
 * silent does not show, so that each other attempt after a failed one has the longer timeout.
 */
const APPEND_TIMEOUT = 700
const SLOW_APPEND_TIMEOUT = 1_500
/** Factor from the time that an append took to the timeout of the next one. */
const TIMEOUT_RESERVE = 2
/** Initial and maximum pause before an append is retried, in milliseconds; it doubles each time. */
const MINIMUM_RETRY_PAUSE = 50
const MAXIMUM_RETRY_PAUSE = 400
/** Maximum number of records in one append. */
const MAXIMUM_RECORDS = 300

interface ChangedRecord {
	/** Creates the newest version of the record. */
	readonly create: () => LogRecord
	/** Number of the first change that is not in the log yet. */
	readonly firstChange: number
	/** Time by which the record is written, in milliseconds. */
	readonly dueAt: number
}

interface PendingCallback {
	readonly callback: () => void
	/** Number of the last change that it waits for. */
	readonly lastChange: number
	/** It does not wait for records that are due later, in milliseconds. */
	readonly dueBy: number
}

/**
 * Makes the owner's decisions durable by appending them to the log, one append at a time, under the
 * owner's fencing token. Callbacks run once the decisions that they wait for are in the log.
 *
 * @public
 */
export class ProgressWriter {
	/** Changed records by key, in the order of their first change that is not in the log yet. */
	private readonly changedRecords = new Map<string, ChangedRecord>()
	private callbacks: PendingCallback[] = []
	/** Number of changes marked so far. */
	private changeCount = 0
	/** Sequence number of the next append in this term. */
	private sequence = 0
	private isFlushing = false
	private stopped = false
	private readonly clock: SuspendAwareClock
	/** Start of the append in flight, its first attempt; undefined if there is none. */
	private appendingSince: Instant | undefined
	/** Start of the latest append that is known to be in the log, its first attempt. */
	private latestContact: Instant | undefined
	/** Time in which the latest answered append was answered, in milliseconds. */
	private latestAppendTime = 0
	/** Timer of the next flush of delayed records. */
	private flushTimer: { cancel(): void } | undefined

	constructor(
		private readonly context: OwnerContext,
		private readonly log: MetadataLog,
		private readonly follower: StreamFollower
	) {
		this.clock = new SuspendAwareClock(context.timers, context.getWallTime)
	}

	stop(): void {
		this.stopped = true
		this.flushTimer?.cancel()
	}

	/** Milliseconds since the append in flight was started; 0 if there is none. */
	get appendDelay(): number {
		return this.appendingSince ? this.context.timers.now() - this.appendingSince.monotonic : 0
	}

	/**
	 * Milliseconds since the first attempt of the latest append that is known to be in the log.
	 * Every instance that reads the log has received its records no earlier.
	 */
	get silence(): number {
		return this.latestContact ? this.clock.getElapsed(this.latestContact) : Infinity
	}

	/**
	 * Marks a job's progress as changed.
	 *
	 * @param delay - milliseconds for which the record may wait for further changes
	 */
	markJobChanged(row: JobRow, delay = 0): void {
		const { id } = row.job
		const create = (): LogRecord => JobRecords.createProgressRecord(id, createJobSnapshot(row))
		this.markRecordChanged(id, create, delay)
	}

	/**
	 * Marks a record as changed. `create` is called when the record is written.
	 *
	 * @param delay - milliseconds for which the record may wait for further changes
	 */
	markRecordChanged(key: string, create: () => LogRecord, delay = 0): void {
		this.changeCount += 1
		const { firstChange, dueAt } = this.changedRecords.get(key) ?? {
			firstChange: this.changeCount,
			dueAt: Infinity,
		}
		const latestDueAt = this.context.timers.now() + delay
		this.changedRecords.set(key, { create, firstChange, dueAt: Math.min(dueAt, latestDueAt) })
		this.flushSoon()
	}

	/** Writes everything marked as changed so far without delay, and runs `callback` once it is durable. */
	whenDurable(callback: () => void): void {
		for (const key of this.changedRecords.keys()) this.endDelay(key)
		this.whenWritten(callback)
	}

	/** Runs `callback` once everything marked as changed so far is durable, without hurrying it. */
	whenWritten(callback: () => void): void {
		this.callbacks.push({ callback, lastChange: this.changeCount, dueBy: Infinity })
		this.flushSoon()
	}

	/**
	 * Writes one record, such as a job's progress, without delay. Runs `callback` once it is durable, with everything that
	 * was marked as changed before and may not wait either.
	 */
	whenRecordDurable(key: string, callback: () => void): void {
		this.endDelay(key)
		const dueBy = this.context.timers.now()
		this.callbacks.push({ callback, lastChange: this.changeCount, dueBy })
		this.flushSoon()
	}

	private endDelay(key: string): void {
		const record = this.changedRecords.get(key)
		if (!record) return
		const dueAt = Math.min(record.dueAt, this.context.timers.now())
		this.changedRecords.set(key, { ...record, dueAt })
	}

	private flushSoon(): void {
		if (this.isFlushing || this.stopped) return
		this.isFlushing = true
		queueMicrotask(() => {
			this.flush().catch(this.context.fail)
		})
	}

	private async flush(): Promise<void> {
		this.flushTimer?.cancel()
		while (!this.stopped) {
			const keys = this.getDueKeys()
			const records = keys.map((key) => this.takeRecord(key))
			if (records.length > 0 && !(await this.appendWithRetries(records))) return
			this.runCallbacks()
			if (records.length === 0 && this.getDueKeys().length === 0) break
		}
		this.isFlushing = false
		this.scheduleFlush()
	}

	private getDueKeys(): string[] {
		const now = this.context.timers.now()
		const due = [...this.changedRecords].filter(([, { dueAt }]) => dueAt <= now)
		return due.slice(0, MAXIMUM_RECORDS).map(([key]) => key)
	}

	/** Takes a changed record out of the map. Must be followed by an append. */
	private takeRecord(key: string): LogRecord {
		const record = this.changedRecords.get(key)
		if (!record) throw new Error(`record ${key} has not changed`)
		this.changedRecords.delete(key)
		return record.create()
	}

	/** Runs the callbacks whose changes are durable. Called while no append is in flight. */
	private runCallbacks(): void {
		const records = [...this.changedRecords.values()]
		const isPending = ({ lastChange, dueBy }: PendingCallback): boolean =>
			records.some(({ firstChange, dueAt }) => firstChange <= lastChange && dueAt <= dueBy)
		const pending = this.callbacks.filter(isPending)
		const ready = this.callbacks.filter((callback) => !isPending(callback))
		this.callbacks = pending
		for (const { callback } of ready) callback()
	}

	private scheduleFlush(): void {
		if (this.stopped || this.changedRecords.size === 0) return
		const { timers } = this.context
		const dueAt = Math.min(...[...this.changedRecords.values()].map((record) => record.dueAt))
		this.flushTimer = timers.after(Math.max(0, dueAt - timers.now()), () => {
			this.flushSoon()
		})
	}

	/**
	 * Appends records, retrying until the log answers. The log detects a repeated append by its sequence
	 * number. Returns whether writing may go on.
	 */
	private async appendWithRetries(records: readonly LogRecord[]): Promise<boolean> {
		const { token, timers, events } = this.context
		this.appendingSince = this.clock.now()
		let pause = MINIMUM_RETRY_PAUSE
		let timeout = this.getAppendTimeout()
		while (!this.stopped) {
			const fence = { term: token, sequence: this.sequence }
			const sentAt = timers.now()
			const result = await this.log.append('progress', records, timeout, fence)
			if (result.kind === 'appended') {
				this.latestAppendTime = timers.now() - sentAt
				this.handleAppended(records, result.offset)
				return !this.stopped
			}
			if (result.kind === 'fenced') {
				this.context.endTerm(`append refused: ${result.reason}`)
				return false
			}
			events.warn('progress-append-repeated', { reason: result.reason, waited: this.appendDelay })
			await new Promise<void>((resolve) => timers.after(pause, resolve))
			pause = Math.min(pause * 2, MAXIMUM_RETRY_PAUSE)
			timeout = timeout === SLOW_APPEND_TIMEOUT ? APPEND_TIMEOUT : SLOW_APPEND_TIMEOUT
		}
		return false
	}

	private getAppendTimeout(): number {
		const expected = this.latestAppendTime * TIMEOUT_RESERVE
		return expected > APPEND_TIMEOUT ? SLOW_APPEND_TIMEOUT : APPEND_TIMEOUT
	}

	private handleAppended(records: readonly LogRecord[], offset: number): void {
		const { metrics } = this.context
		metrics.observe('progress_append', this.appendDelay)
		this.sequence += 1
		// Others see no sign of this owner in the ends of earlier terms.
		const isSign = records.some(({ key }) => JobRecords.parseTermKey(key) === undefined)
		if (isSign) this.latestContact = this.appendingSince
		this.appendingSince = undefined
		const entries = records.map((record, index) => ({ ...record, offset: offset + index }))
		this.follower.applyAppended(entries)
	}
}
