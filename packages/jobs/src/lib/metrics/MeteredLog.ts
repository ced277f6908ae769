import type { TimerService } from '@mastichead/core'
import type { AppendResult } from '../ports/AppendResult.js'
import type { JoinResult } from '../ports/JoinResult.js'
import type { LogFence } from '../ports/LogFence.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { LogStream } from '../ports/LogStream.js'
import { MetadataLog } from '../ports/MetadataLog.js'
import type { ReadNewestResult } from '../ports/ReadNewestResult.js'
import type { ReadResult } from '../ports/ReadResult.js'
import type { JobMetrics } from './JobMetrics.js'

/**
 * Passes all calls on to a metadata log, and records the time and size of each read.
 *
 * @public
 */
export class MeteredLog extends MetadataLog {
	/** Number of records that the latest answer left unread, by stream. */
	private readonly unreadCounts = new Map<LogStream, number>()

	constructor(
		private readonly log: MetadataLog,
		private readonly timers: TimerService,
		private readonly metrics: JobMetrics
	) {
		super()
	}

	override append(
		stream: LogStream,
		records: readonly LogRecord[],
		timeout: number,
		fence?: LogFence
	): Promise<AppendResult> {
		return this.log.append(stream, records, timeout, fence)
	}

	override async read(
		stream: LogStream,
		from: number,
		wait: number,
		answerTimeout?: number
	): Promise<ReadResult> {
		const startedAt = this.timers.now()
		const result = await this.log.read(stream, from, wait, answerTimeout)
		const outcome = result.kind === 'entries' && result.entries.length === 0 ? 'empty' : result.kind
		// A read that waits for records takes as long as there are none.
		const family = wait > 0 ? 'log_wait' : 'log_read'
		this.metrics.observe(family, this.timers.now() - startedAt, outcome)
		if (result.kind !== 'entries') return result
		this.countBytes(stream, result.bytes)
		this.recordUnread(stream, result.end - result.next)
		return result
	}

	override async readNewest(
		stream: LogStream,
		lastKey?: string,
		answerTimeout?: number
	): Promise<ReadNewestResult> {
		const startedAt = this.timers.now()
		const result = await this.log.readNewest(stream, lastKey, answerTimeout)
		this.metrics.observe('log_load', this.timers.now() - startedAt, result.kind)
		if (result.kind === 'entries') this.countBytes(stream, result.bytes)
		return result
	}

	override join(member: string, timeToLive: number, generation: number): Promise<JoinResult> {
		return this.log.join(member, timeToLive, generation)
	}

	override leave(member: string): Promise<void> {
		return this.log.leave(member)
	}

	private countBytes(stream: LogStream, bytes: number | undefined): void {
		if (bytes !== undefined) this.metrics.count('log_read_bytes', stream, bytes)
	}

	private recordUnread(stream: LogStream, count: number): void {
		if (!this.unreadCounts.has(stream)) {
			this.metrics.addGauge('log_unread_records', () => this.unreadCounts.get(stream) ?? 0, stream)
		}
		this.unreadCounts.set(stream, Math.max(0, count))
	}
}
