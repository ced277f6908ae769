import type { TimerService } from '@mastichead/core'
import type { ConcurrencyLimit } from '../ConcurrencyLimit.js'
import type { EventLog } from '../logs/EventLog.js'
import { formatError } from '../logs/formatError.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { LogStream } from '../ports/LogStream.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { SharedRead } from './SharedRead.js'
import { StreamContact } from './StreamContact.js'
import { StreamLoad } from './StreamLoad.js'

/** Delay after a failed read, in milliseconds. */
const RETRY_DELAY = 150
/**
 * Bounds of the time in which an answer to a load must begin, in milliseconds; it doubles with each
 * failure. All instances load at the same time after a loss of power, and share what the log reads.
 */
const MINIMUM_LOAD_TIMEOUT = 1_800
const MAXIMUM_LOAD_TIMEOUT = 3_600

interface PendingPiece {
	/** Offset from which the piece is read. */
	readonly from: number
	/** Resolves to whether the log answered. */
	readonly answered: Promise<boolean>
}

/**
 * Loads the newest record of each key of a stream, then follows the stream and passes every change
 * to a listener, in stream order. A key that disappeared while the follower was behind is passed on
 * as deleted.
 *
 * @public
 */
export class StreamFollower {
	/** Whether the newest record of every key has been loaded, those written during the load included. */
	loaded = false
	/** Offset of the next record to read. */
	nextOffset = 0
	private readonly offsets = new Map<string, number>()
	private readonly contact: StreamContact
	private paused = false
	private stopped = false
	/** The load that is going on or has failed midway; undefined if there is none. */
	private load: StreamLoad | undefined
	private pendingLoad: Promise<boolean> | undefined
	private loadTimeout: number
	/** Whether all pages of the newest records were read since the history last expired. */
	private arePagesRead = false
	/** End of the stream after the pages were read; undefined until the next answer tells it. */
	private loadedEnd: number | undefined
	/** The latest end of the stream that an answer has shown. */
	private latestEnd = 0
	/** The read in flight while behind, and its offset. */
	private pendingPiece: PendingPiece | undefined
	private readonly endRead = new SharedRead(() => this.readPiecesToEnd())
	private readonly catchUpRead = new SharedRead(() => this.readPiecesToEnd())
	private cancelSleep: (() => void) | undefined
	/** Whether a caller waits for the load, so that it goes before the loads of other streams. */
	private isLoadUrgent = false

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
			/** Limits the reads of all streams that are being loaded; none by default. */
			readonly loadLimit?: ConcurrencyLimit
			/**
			 * Milliseconds in which an answer to a load must begin. By default it grows with each failure,
			 * because all instances may load the stream at the same time.
			 */
			readonly loadTimeout?: number
			/** Called after the newest record of every key has been loaded. */
			readonly onLoaded?: () => void
		}
	) {
		this.contact = new StreamContact(stream, timers, events)
		this.loadTimeout = options.loadTimeout ?? MINIMUM_LOAD_TIMEOUT
	}

	/** Whether the latest read succeeded. */
	get available(): boolean {
		return this.contact.available
	}

	/** Monotonic instant of the last answer from the log; undefined before the first. */
	get lastContactAt(): number | undefined {
		return this.contact.lastContactAt
	}

	/** Monotonic instant at which the log last became reachable again after a failure. */
	get recoveredAt(): number | undefined {
		return this.contact.recoveredAt
	}

	/** Monotonic instant of the first failed read since the latest answer; undefined if there is none. */
	get unavailableSince(): number | undefined {
		return this.contact.unavailableSince
	}

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
	 * Applies records that this instance has appended with one call, without reading them. Records of
	 * others before and after them are still read.
	 */
	applyAppended(entries: readonly LogEntry[]): void {
		for (const entry of entries) this.apply(entry)
		const [first, last] = [entries[0], entries.at(-1)]
		if (!first || !last || first.offset > this.nextOffset) return
		this.nextOffset = Math.max(this.nextOffset, last.offset + 1)
	}

	/**
	 * Applies records that this instance has appended with one call, once all records before them have been
	 * read and applied.
	 *
	 * @returns whether they have been; false if the log did not answer
	 */
	async applyInOrder(entries: readonly LogEntry[]): Promise<boolean> {
		const [first, last] = [entries[0], entries.at(-1)]
		if (!first || !last) return true
		while (!this.loaded || first.offset > this.nextOffset) {
			this.isLoadUrgent = !this.loaded
			if (!(await this.readToEnd())) return false
		}
		this.applyAppended(entries)
		return this.nextOffset > last.offset
	}

	/** Whether the key has a record, according to what has been read so far. */
	has(key: string): boolean {
		return this.offsets.has(key)
	}

	/**
	 * Reads to the end that the stream has now, without waiting for new records. Concurrent calls share
	 * one read that starts after they were made.
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

	private async readPiecesToEnd(): Promise<boolean> {
		let end: number | undefined
		for (;;) {
			// A piece in flight may have been sent before a record that the caller asks for.
			const joined = this.pendingPiece !== undefined
			if (!(await this.readOnce(0))) return false
			if (!joined) end ??= this.latestEnd
			if (this.loaded && end !== undefined && this.nextOffset >= end) return true
		}
	}

	private async run(): Promise<void> {
		while (!this.stopped) {
			const from = this.nextOffset
			const answered = this.paused || (await this.readOnce(this.options.maximumWait))
			await this.sleep(this.getDelay(answered, from))
		}
	}

	/** Whether the log is known to have records after those that were read. */
	private get behind(): boolean {
		return this.nextOffset < this.latestEnd
	}

	/** Returns the delay after a read from an offset; none if it brought some of the records. */
	private getDelay(answered: boolean, from: number): number {
		if (!answered) return RETRY_DELAY
		if (!this.loaded) return 0
		return this.behind && this.nextOffset > from ? 0 : this.options.getPollDelay()
	}

	private async readOnce(wait: number): Promise<boolean> {
		if (!this.arePagesRead && !(await this.finishLoad())) return false
		if (this.behind) return this.readPiece()
		// After a failure an answer shows at once that the log is back.
		return this.readNext(this.loaded && this.available ? wait : 0)
	}

	/** Reads records that the log is known to have, one read at a time for all callers. */
	private async readPiece(): Promise<boolean> {
		const from = this.nextOffset
		const pending = this.pendingPiece ?? this.startPiece(from)
		const answered = await pending.answered
		// A piece from an earlier offset may have been sent before the records that this call is for.
		return answered && pending.from !== from ? this.readOnce(0) : answered
	}

	private startPiece(from: number): PendingPiece {
		const answered = this.readNext(0).finally(() => {
			this.pendingPiece = undefined
		})
		this.pendingPiece = { from, answered }
		return this.pendingPiece
	}

	private async readNext(wait: number): Promise<boolean> {
		const from = this.nextOffset
		const result = this.loaded
			? await this.log.read(this.stream, from, wait)
			: await this.runLoad(() => this.log.read(this.stream, from, wait, this.loadTimeout))
		if (result.kind === 'expired') {
			this.events.warn('log-history-expired', { stream: this.stream, from })
			this.loaded = false
			this.arePagesRead = false
			this.loadedEnd = undefined
			return this.finishLoad()
		}
		if (result.kind === 'unavailable') return this.recordFailure(result.reason)
		this.contact.recordAnswer(this)
		// Another read may have brought some of these records, and later ones of their keys.
		const applied = this.nextOffset
		for (const entry of result.entries) if (entry.offset >= applied) this.apply(entry)
		this.nextOffset = Math.max(this.nextOffset, result.next)
		this.latestEnd = Math.max(this.latestEnd, result.end)
		if (!this.loaded && this.arePagesRead) this.completeLoad(result.end)
		return true
	}

	/** Loads the stream, or goes on with a load that failed midway. Concurrent calls share one load. */
	private finishLoad(): Promise<boolean> {
		this.pendingLoad ??= this.readPages().finally(() => {
			this.pendingLoad = undefined
		})
		return this.pendingLoad
	}

	private async readPages(): Promise<boolean> {
		this.load ??= new StreamLoad(this.stream, this.log, this.timers.now())
		const { load } = this
		load.tries += 1
		while (!load.complete) {
			const page = await this.runLoad(() => load.readPage(this.loadTimeout))
			if (page.kind === 'unavailable') return this.recordFailure(page.reason)
			this.contact.recordAnswer(this)
			for (const entry of page.entries) this.apply(entry)
		}
		this.completePages(load)
		return true
	}

	private runLoad<T>(read: () => Promise<T>): Promise<T> {
		const { loadLimit } = this.options
		return loadLimit ? loadLimit.run(read, () => this.isLoadUrgent) : read()
	}

	/** Ends the load once everything that the stream had after the last page has been read. */
	private completeLoad(end: number): void {
		this.loadedEnd ??= end
		if (this.nextOffset < this.loadedEnd) return
		this.loaded = true
		this.isLoadUrgent = false
		this.loadTimeout = this.options.loadTimeout ?? MINIMUM_LOAD_TIMEOUT
		this.options.onLoaded?.()
	}

	private completePages(load: StreamLoad): void {
		const next = load.next ?? 0
		for (const [key, offset] of [...this.offsets]) {
			if (load.keys.has(key) || offset >= next) continue
			this.apply({ key, value: undefined, offset: next })
		}
		this.load = undefined
		this.nextOffset = Math.max(this.nextOffset, next)
		this.arePagesRead = true
		this.reportLoad(load)
	}

	private apply(entry: LogEntry): void {
		const applied = this.offsets.get(entry.key) ?? this.load?.deletions.get(entry.key) ?? -1
		if (entry.offset <= applied) return
		if (entry.value === undefined) {
			this.offsets.delete(entry.key)
			this.load?.deletions.set(entry.key, entry.offset)
		} else this.offsets.set(entry.key, entry.offset)
		this.notify(entry)
	}

	/** Passes a change on. A record that cannot be processed must not keep the later ones back. */
	private notify(entry: LogEntry): void {
		try {
			this.listener(entry)
		} catch (error) {
			const { key, offset } = entry
			this.events.error('log-record-failed', {
				stream: this.stream,
				key,
				offset,
				error: formatError(error),
			})
		}
	}

	private recordFailure(reason: string): boolean {
		this.contact.recordFailure(reason, this)
		if (!this.loaded) this.extendLoadTimeout()
		return false
	}

	private extendLoadTimeout(): void {
		if (this.options.loadTimeout !== undefined) return
		this.loadTimeout = Math.min(this.loadTimeout * 2, MAXIMUM_LOAD_TIMEOUT)
	}

	private reportLoad(load: StreamLoad): void {
		const after = Math.round(this.timers.now() - load.startedAt)
		const { stream, nextOffset: next } = this
		const { bytes, tries } = load
		this.events.info('stream-loaded', {
			stream,
			entries: load.keys.size,
			bytes,
			next,
			after,
			tries,
		})
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
