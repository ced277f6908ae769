import type { LogRecord } from '../LogRecord.js'

/**
 * The platform's log in virtual time, with faults, for tests.
 *
 * @internal
 */
export class VirtualLog {
	readonly records: LogRecord[] = []
	/** First offset kept. */
	first = 0
	private readonly waiting = new Set<() => void>()

	append(records: readonly string[], at: number): void {
		for (const record of records) this.records.push({ offset: this.records.length, at, record })
		for (const wake of [...this.waiting]) wake()
	}

	/** Lets all but the newest `count` records expire. */
	expire(count: number): void {
		this.first = Math.max(this.first, this.records.length - count)
	}

	onAppend(wake: () => void): () => void {
		this.waiting.add(wake)
		return () => this.waiting.delete(wake)
	}
}
