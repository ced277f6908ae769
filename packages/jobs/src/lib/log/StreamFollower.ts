import type { TimerService } from '@mastichead/core'
import type { EventLog } from '../logs/EventLog.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { LogStream } from '../ports/LogStream.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { SharedRead } from './SharedRead.js'

/** Delay after a failed read, in milliseconds. */
const RETRY_DELAY = 150

/**
 * Loads the newest record of each key of a stream, then follows the stream and passes every change
 * to a listener, in stream order. A key that disappeared while the follower was behind is passed on
 * as deleted.
 *
 * @public
 */
export class StreamFollower {
	/** Whether the newest record of every key has been loaded. */
	loaded = false
	/** Monotonic instant of the last answer from the log; undefined before the first. */
	lastContactAt: number | undefined
	/** Monotonic instant at which the log last became reachable again after a failure. */
	recoveredAt: number | undefined
	/** Whether the latest read succeeded. */
	available = true
	/** Offset of the next record to read. */
	nextOffset = 0
	private readonly offsets = new Map<string, number>()
	private paused = false
	private stopped = false
	/** The read of the loop that is in flight. */
	private loopRead: Promise<boolean> | undefined
	private readonly endRead = new SharedRead(() => this.readPagesToEnd())
	private readonly catchUpRead = new SharedRead(() => this.readOnce(0))
	private cancelSleep: (() => void) | undefined

	/**
	 * @param options.maximumWait - milliseconds for which a read waits for a record
	 * @param options.getPollDelay - returns the milliseconds between an answer and the next read
	 */
	constructor(
		readonly stream: LogStream,
		private readonly log: MetadataLog,
		private readonly timers: TimerService,
		private readonly events: EventLog,
		private readonly listener: (entry: LogEntry) => void,
		private readonly options: {
			readonly maximumWait: number
			readonly getPollDelay: () => number
			/** Called after the newest record of every key has been loaded. */
			readonly onLoaded?: () => void
		}
	) {}

	/** Starts reading; continues until `stop` is called. */
	start(): void {
		void this.run()
	}

	stop(): void {
		this.stopped = true
	}

	/** Suspends reading while this instance is the only writer. */
	pause(): void {
		this.paused = true
	}

	resume(): void {
		this.paused = false
		this.wakeUp()
	}

	/** Ends the current delay between two reads, if any. */
	wakeUp(): void {
		this.cancelSleep?.()
	}

	/**
	 * Applies records that this instance has appended, without reading them.
	 *
	 * @param nextOffset - offset from which to read on; a lower value than the current one is ignored
	 */
	applyAppended(entries: readonly LogEntry[], nextOffset: number): void {
		for (const entry of entries) this.apply(entry)
		this.nextOffset = Math.max(this.nextOffset, nextOffset)
	}

	/** Whether the key has a record, according to what has been read so far. */
	has(key: string): boolean {
		return this.offsets.has(key)
	}

	/**
	 * Reads to the end of the stream without waiting for new records. Concurrent calls share one
	 * read that starts after they were made.
	 *
	 * @returns whether the log answered every read
	 */
	readToEnd(): Promise<boolean> {
		return this.endRead.request()
	}

	/**
	 * Reads what was written since the latest answer, for a query that needs the current state.
	 * Concurrent calls share one read that starts after they were made.
	 *
	 * @param timeout - milliseconds after which it resolves even if the read has not finished
	 */
	async catchUp(timeout: number): Promise<void> {
		if (this.paused || !this.available) return
		const read = this.catchUpRead.request()
		await new Promise<void>((resolve) => {
			const timer = this.timers.after(timeout, resolve)
			void read.then(() => {
				timer.cancel()
				resolve()
			})
		})
	}

	private async readPagesToEnd(): Promise<boolean> {
		// Waits for a load in flight, because a second one would take half of the link.
		if (!this.loaded && this.loopRead && !(await this.loopRead)) return false
		for (;;) {
			const before = this.nextOffset
			if (!(await this.readOnce(0))) return false
			if (this.nextOffset === before && this.loaded) return true
		}
	}

	private async run(): Promise<void> {
		while (!this.stopped) {
			this.loopRead = this.paused ? undefined : this.readOnce(this.options.maximumWait)
			const answered = (await this.loopRead) ?? true
			this.loopRead = undefined
			await this.sleep(answered ? this.options.getPollDelay() : RETRY_DELAY)
		}
	}

	private async readOnce(wait: number): Promise<boolean> {
		if (!this.loaded) return this.load()
		const from = this.nextOffset
		const result = await this.log.read(this.stream, from, wait)
		if (result.kind === 'expired') {
			this.events.warn('log-history-expired', { stream: this.stream, from })
			this.loaded = false
			return this.load()
		}
		if (result.kind === 'unavailable') return this.recordFailure(result.reason)
		this.recordContact()
		for (const entry of result.entries) this.apply(entry)
		this.nextOffset = Math.max(this.nextOffset, result.next)
		return true
	}

	private async load(): Promise<boolean> {
		const result = await this.log.readNewest(this.stream)
		if (result.kind === 'unavailable') return this.recordFailure(result.reason)
		this.recordContact()
		const present = new Set(result.entries.map((entry) => entry.key))
		for (const [key, offset] of [...this.offsets]) {
			if (present.has(key) || offset >= result.next) continue
			this.apply({ key, value: undefined, offset: result.next })
		}
		for (const entry of result.entries) this.apply(entry)
		this.nextOffset = Math.max(this.nextOffset, result.next)
		this.loaded = true
		this.options.onLoaded?.()
		return true
	}

	private apply(entry: LogEntry): void {
		const applied = this.offsets.get(entry.key) ?? -1
		if (entry.offset <= applied) return
		if (entry.value === undefined) this.offsets.delete(entry.key)
		else this.offsets.set(entry.key, entry.offset)
		this.listener(entry)
	}

	private recordContact(): void {
		this.lastContactAt = this.timers.now()
		if (this.available) return
		this.available = true
		this.recoveredAt = this.timers.now()
		this.events.info('log-regained', { stream: this.stream, next: this.nextOffset })
	}

	private recordFailure(reason: string): boolean {
		if (this.available) this.events.warn('log-lost', { stream: this.stream, reason })
		this.available = false
		return false
	}

	private sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			const timer = this.timers.after(duration, resolve)
			this.cancelSleep = () => {
				timer.cancel()
				resolve()
			}
		})
	}
}
