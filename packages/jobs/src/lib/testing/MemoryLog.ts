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
	/** While true, calls have no effect and get no answer. */
	disconnected = false

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
		return this.store.append(stream, records, fence)
	}

	override async read(stream: LogStream, from: number, wait: number): Promise<ReadResult> {
		await this.sleep(this.callLatency)
		const deadline = this.timers.now() + wait
		while (this.timers.now() < deadline && this.store.getEnd(stream) <= from) {
			await this.sleep(POLL_INTERVAL)
		}
		if (this.isUnavailable(stream)) return { kind: 'unavailable', reason: 'no answer' }
		if (this.store.getFirst(stream) > from) return { kind: 'expired' }
		const entries = this.store.getEntries(stream).filter((entry) => entry.offset >= from)
		return { kind: 'entries', entries, next: this.store.getEnd(stream) }
	}

	override async readNewest(stream: LogStream): Promise<ReadNewestResult> {
		await this.sleep(this.callLatency)
		if (this.isUnavailable(stream)) return { kind: 'unavailable', reason: 'no answer' }
		const newest = new Map<string, LogEntry>()
		for (const entry of this.store.getEntries(stream)) newest.set(entry.key, entry)
		const entries = [...newest.values()].filter((entry) => entry.value !== undefined)
		return { kind: 'entries', entries, next: this.store.getEnd(stream) }
	}

	override async join(member: string, timeToLive: number): Promise<JoinResult> {
		await this.sleep(this.callLatency)
		if (this.disconnected) return { kind: 'unavailable', reason: 'no answer' }
		return this.store.join(member, this.timers.now(), timeToLive)
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
