import type { JobRow } from '@mastichead/core'
import { createJobSnapshot } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { OwnerContext } from './OwnerContext.js'

/** Timeout of one append, in milliseconds. */
const APPEND_TIMEOUT = 700
/** Initial and maximum pause before an append is retried, in milliseconds; it doubles each time. */
const MINIMUM_RETRY_PAUSE = 50
const MAXIMUM_RETRY_PAUSE = 400
/** Maximum number of records in one append. */
const MAXIMUM_RECORDS = 300

/**
 * Makes the owner's decisions durable by appending them to the log, one append at a time, under the
 * owner's fencing token. Callbacks run once all decisions made before them are in the log.
 *
 * @public
 */
export class ProgressWriter {
	/** Creates the newest record of each changed key, by key. */
	private readonly changedRecords = new Map<string, () => LogRecord>()
	private callbacks: (() => void)[] = []
	/** Sequence number of the next append in this term. */
	private sequence = 0
	private isFlushing = false
	private stopped = false
	/** Start of the append in flight, in milliseconds; undefined if there is none. */
	private appendingSince: number | undefined

	constructor(
		private readonly context: OwnerContext,
		private readonly log: MetadataLog,
		private readonly follower: StreamFollower
	) {}

	stop(): void {
		this.stopped = true
	}

	/** Milliseconds since the append in flight was started; 0 if there is none. */
	get appendDelay(): number {
		return this.appendingSince === undefined ? 0 : this.context.timers.now() - this.appendingSince
	}

	/** Marks a job's progress as changed. */
	markJobChanged(row: JobRow): void {
		const { id } = row.job
		this.markRecordChanged(id, () => JobRecords.createProgressRecord(id, createJobSnapshot(row)))
	}

	/** Marks a record as changed. `create` is called when the record is written. */
	markRecordChanged(key: string, create: () => LogRecord): void {
		this.changedRecords.set(key, create)
		this.flushSoon()
	}

	/** Runs `callback` once everything marked as changed so far is durable. */
	whenDurable(callback: () => void): void {
		this.callbacks.push(callback)
		this.flushSoon()
	}

	private flushSoon(): void {
		if (this.isFlushing || this.stopped) return
		this.isFlushing = true
		queueMicrotask(() => void this.flush())
	}

	private async flush(): Promise<void> {
		while (!this.stopped && (this.changedRecords.size > 0 || this.callbacks.length > 0)) {
			const batch = [...this.changedRecords].slice(0, MAXIMUM_RECORDS)
			for (const [key] of batch) this.changedRecords.delete(key)
			const callbacks = this.changedRecords.size === 0 ? this.takeCallbacks() : []
			const records = batch.map(([, create]) => create())
			if (records.length > 0 && !(await this.appendWithRetries(records))) return
			for (const callback of callbacks) callback()
		}
		this.isFlushing = false
	}

	/** Takes the current callbacks. Callbacks added during an append wait for the next one. */
	private takeCallbacks(): (() => void)[] {
		const callbacks = this.callbacks
		this.callbacks = []
		return callbacks
	}

	/**
	 * Appends records, retrying until the log answers. The log detects a repeated append by its sequence
	 * number. Returns whether writing may go on.
	 */
	private async appendWithRetries(records: readonly LogRecord[]): Promise<boolean> {
		const { token, timers, events } = this.context
		this.appendingSince = timers.now()
		let pause = MINIMUM_RETRY_PAUSE
		while (!this.stopped) {
			const fence = { term: token, sequence: this.sequence }
			const result = await this.log.append('progress', records, APPEND_TIMEOUT, fence)
			if (result.kind === 'appended') {
				this.handleAppended(records, result.offset, result.end)
				return !this.stopped
			}
			if (result.kind === 'fenced') {
				this.context.endTerm(`append refused: ${result.reason}`)
				return false
			}
			events.warn('progress-append-repeated', { reason: result.reason, waited: this.appendDelay })
			await new Promise<void>((resolve) => timers.after(pause, resolve))
			pause = Math.min(pause * 2, MAXIMUM_RETRY_PAUSE)
		}
		return false
	}

	private handleAppended(records: readonly LogRecord[], offset: number, end: number): void {
		const { metrics, timers } = this.context
		metrics.observe('progress_append', timers.now() - (this.appendingSince ?? timers.now()))
		this.sequence += 1
		this.appendingSince = undefined
		const entries = records.map((record, index) => ({ ...record, offset: offset + index }))
		this.follower.applyAppended(entries, end)
	}
}
