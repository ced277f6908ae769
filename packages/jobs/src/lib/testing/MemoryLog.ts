import type { TimerService } from '@mastichead/core'
import type { AppendResult } from '../ports/AppendResult.js'
import type { JoinResult } from '../ports/JoinResult.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { LogFence } from '../ports/LogFence.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { LogStream } from '../ports/LogStream.js'
import type { ReadNewestResult } from '../ports/ReadNewestResult.js'
import type { ReadResult } from '../ports/ReadResult.js'
import { MetadataLog } from '../ports/MetadataLog.js'
import type { MemoryStore } from './MemoryStore.js'

/** Interval at which a waiting read checks for records, in milliseconds. */
const POLL_INTERVAL = 5

/**
 * Connects one instance to an in-memory store, in virtual time. It can be disconnected.
 *
 * @internal
 */
export class MemoryLog extends MetadataLog {
	/** Latency of one call, in milliseconds. */
	callLatency = 4
	/** Milliseconds for which the answer to a read or a page is on the way. */
	transferTime = 0
	/** While true, calls have no effect and get no answer. */
	disconnected = false
	/** While true, appends and joins are carried out and get no answer. */
	losesAnswers = false
	/** Maximum number of records on a page of newest records. */
	pageSize = Infinity
	/** Maximum number of records of one read. */
	readSize = Infinity
	/** Number of reads that were answered. */
	reads = 0
	/** Number of pages of newest records that were read. */
	pageReads = 0

	constructor(
		private readonly store: MemoryStore,
		private readonly timers: TimerService
	) {
		super()
	}

	override async append(
		stream: LogStream,
		records: readonly LogRecord[],
		timeout: number,
		fence?: LogFence
	): Promise<AppendResult> {
		await this.sleep(this.callLatency)
		if (this.isUnavailable(stream)) {
			await this.sleep(timeout)
			return { kind: 'unknown', reason: 'no answer' }
		}
		const result = this.store.append(stream, records, fence)
		if (!this.losesAnswers) return result
		await this.sleep(timeout)
		return { kind: 'unknown', reason: 'no answer' }
	}

	override async read(stream: LogStream, from: number, wait: number): Promise<ReadResult> {
		await this.sleep(this.callLatency)
		const deadline = this.timers.now() + wait
		while (this.timers.now() < deadline && this.store.getEnd(stream) <= from) {
			await this.sleep(POLL_INTERVAL)
		}
		if (this.isUnavailable(stream)) return { kind: 'unavailable', reason: 'no answer' }
		if (this.store.getFirst(stream) > from) return { kind: 'expired' }
		this.reads += 1
		const remaining = this.store.getEntries(stream).filter((entry) => entry.offset >= from)
		const entries = remaining.slice(0, this.readSize)
		const end = this.store.getEnd(stream)
		if (this.transferTime > 0) await this.sleep(this.transferTime)
		return { kind: 'entries', entries, next: from + entries.length, end }
	}

	override async readNewest(stream: LogStream, lastKey?: string): Promise<ReadNewestResult> {
		await this.sleep(this.callLatency)
		if (this.isUnavailable(stream)) return { kind: 'unavailable', reason: 'no answer' }
		this.pageReads += 1
		const newest = new Map<string, LogEntry>()
		for (const entry of this.store.getEntries(stream)) newest.set(entry.key, entry)
		const remaining = [...newest.values()]
			.filter(({ key, value }) => value !== undefined && (lastKey === undefined || key > lastKey))
			.sort((a, b) => (a.key < b.key ? -1 : 1))
		const entries = remaining.slice(0, this.pageSize)
		const isLast = entries.length === remaining.length
		const next = this.store.getEnd(stream)
		if (this.transferTime > 0) await this.sleep(this.transferTime)
		return { kind: 'entries', entries, next, lastKey: isLast ? undefined : entries.at(-1)?.key }
	}

	override async join(member: string, timeToLive: number): Promise<JoinResult> {
		await this.sleep(this.callLatency)
		if (this.disconnected) return { kind: 'unavailable', reason: 'no answer' }
		const result = this.store.join(member, this.timers.now(), timeToLive)
		return this.losesAnswers ? { kind: 'unavailable', reason: 'no answer' } : result
	}

	override async leave(member: string): Promise<void> {
		await this.sleep(this.callLatency)
		if (!this.disconnected) this.store.leave(member)
	}

	private isUnavailable(stream: LogStream): boolean {
		return this.disconnected || this.store.unavailableStreams.has(stream)
	}

	protected sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			this.timers.after(duration, resolve)
		})
	}
}
