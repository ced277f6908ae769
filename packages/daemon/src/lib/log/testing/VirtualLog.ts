import type { LogRecord } from '../LogRecord.js'

/**
 * The platform's log in memory, with records that can expire, for tests.
 *
 * @internal
 */
export class VirtualLog {
	readonly records: LogRecord[] = []
	/** First offset kept. */
	firstOffset = 0
	private readonly appendListeners = new Set<() => void>()

	append(records: readonly string[], at: number): void {
		for (const record of records) this.records.push({ offset: this.records.length, at, record })
		for (const listener of [...this.appendListeners]) listener()
	}

	/** Expires all but the newest `count` records. */
	expire(count: number): void {
		this.firstOffset = Math.max(this.firstOffset, this.records.length - count)
	}

	onAppend(listener: () => void): () => void {
		this.appendListeners.add(listener)
		return () => this.appendListeners.delete(listener)
	}
}
