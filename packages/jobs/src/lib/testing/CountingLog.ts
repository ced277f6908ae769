import type { AppendResult } from '../ports/AppendResult.js'
import type { LogFence } from '../ports/LogFence.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { LogStream } from '../ports/LogStream.js'
import type { ReadNewestResult } from '../ports/ReadNewestResult.js'
import type { ReadResult } from '../ports/ReadResult.js'
import { MemoryLog } from './MemoryLog.js'

/**
 * Counts the reads of each stream that do not wait for records. Reads of a stream that is unavailable
 * end late, as those of the platform's log do, and answers can be late or lost.
 *
 * @internal
 */
export class CountingLog extends MemoryLog {
	/** Number of reads without a wait by stream. */
	readonly readCounts = new Map<LogStream, number>()
	/** Number of loads by stream. */
	readonly loadCounts = new Map<LogStream, number>()
	/** Milliseconds after which a read of an unavailable stream fails. */
	failureTime = 0
	/** Milliseconds that the answer to a read takes after the records were looked up. */
	answerTime = 0
	/** While true, records are appended but the answers are lost. */
	losesAppendAnswers = false

	override async append(
		stream: LogStream,
		records: readonly LogRecord[],
		timeout: number,
		fence?: LogFence
	): Promise<AppendResult> {
		const result = await super.append(stream, records, timeout, fence)
		if (!this.losesAppendAnswers || result.kind !== 'appended') return result
		await this.sleep(timeout)
		return { kind: 'unknown', reason: 'no answer' }
	}

	override async read(stream: LogStream, from: number, wait: number): Promise<ReadResult> {
		if (wait === 0) this.count(this.readCounts, stream)
		const result = await super.read(stream, from, wait)
		await this.sleep(result.kind === 'unavailable' ? this.failureTime : this.answerTime)
		return result
	}

	override async readNewest(stream: LogStream, lastKey?: string): Promise<ReadNewestResult> {
		this.count(this.loadCounts, stream)
		const result = await super.readNewest(stream, lastKey)
		if (result.kind === 'unavailable') await this.sleep(this.failureTime)
		return result
	}

	private count(counts: Map<LogStream, number>, stream: LogStream): void {
		counts.set(stream, (counts.get(stream) ?? 0) + 1)
	}
}
