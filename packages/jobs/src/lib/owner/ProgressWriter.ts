import type { JobRow } from '@mastichead/core'
import { createJobSnapshot } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { OwnerContext } from './OwnerContext.js'

/** Time for one append before it is repeated, in milliseconds. */
const APPEND_TIMEOUT = 700
/** First and longest pause before an append is repeated, in milliseconds. */
const MINIMUM_RETRY_PAUSE = 50
const MAXIMUM_RETRY_PAUSE = 400
/** Records in one append. */
const MAXIMUM_RECORDS = 300

/**
 * Makes the owner's decisions durable, one append after the other under the owner's fence.
 * Effects wait until everything decided before them is in the log.
 *
 * @public
 */
export class ProgressWriter {
	/** Makes the newest record of each key that has changed. */
	private readonly dirty = new Map<string, () => LogRecord>()
	private callbacks: (() => void)[] = []
	private sequence = 0
	private isFlushing = false
	private stopped = false
	/** Instant since which an append has been under way; undefined while none is. */
	private appendingSince: number | undefined

	constructor(
		private readonly context: OwnerContext,
		private readonly log: MetadataLog,
		private readonly follower: StreamFollower
	) {}

	stop(): void {
		this.stopped = true
	}

	/** Milliseconds for which the append under way has had no answer. */
	get appendDelay(): number {
		return this.appendingSince === undefined ? 0 : this.context.timers.now() - this.appendingSince
	}

	/** Marks a job as changed. */
	markJobChanged(row: JobRow): void {
		const { id } = row.job
		this.markRecordChanged(id, () => JobRecords.createProgressRecord(id, createJobSnapshot(row)))
	}

	/** Marks a record as changed; `create` is called when it is written. */
	markRecordChanged(key: string, create: () => LogRecord): void {
		this.dirty.set(key, create)
		this.flushSoon()
	}

	/** Runs `effect` once all that has been marked so far is durable. */
	whenDurable(effect: () => void): void {
		this.callbacks.push(effect)
		this.flushSoon()
	}

	private flushSoon(): void {
		if (this.isFlushing || this.stopped) return
		this.isFlushing = true
		queueMicrotask(() => void this.flush())
	}

	private async flush(): Promise<void> {
		while (!this.stopped && (this.dirty.size > 0 || this.callbacks.length > 0)) {
			const batch = [...this.dirty].slice(0, MAXIMUM_RECORDS)
			for (const [key] of batch) this.dirty.delete(key)
			const effects = this.dirty.size === 0 ? this.takeCallbacks() : []
			const records = batch.map(([, create]) => create())
			if (records.length > 0 && !(await this.appendWithRetries(records))) return
			for (const effect of effects) effect()
		}
		this.isFlushing = false
	}

	/** What is decided while an append is under way waits for the next one. */
	private takeCallbacks(): (() => void)[] {
		const effects = this.callbacks
		this.callbacks = []
		return effects
	}

	/** Appends until there is an answer; the log recognizes a repeat by its sequence number. */
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
		const entries = records.map((record, place) => ({ ...record, offset: offset + place }))
		this.follower.applyAppended(entries, end)
	}
}
