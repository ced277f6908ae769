import type { LogEntry } from './LogEntry.js'

/**
 * An append-only log in memory that discards its oldest records.
 *
 * @internal
 */
export class PlatformLog {
	private entries: LogEntry[] = []
	private lastAt = 0
	private readonly waiters = new Set<() => void>()

	/** @param retention - number of newest records to keep; older ones cannot be read */
	constructor(private readonly retention: number) {}

	/** Offset of the oldest record in the log, or of the next one if the log is empty. */
	get first(): number {
		return this.entries[0]?.offset ?? this.next
	}

	/** Offset of the next record to be appended. */
	next = 0

	/**
	 * Appends records and wakes waiting readers.
	 *
	 * @param now - time by the platform's clock, in milliseconds since 1970
	 * @returns offsets of the records
	 */
	append(records: readonly string[], now: number): number[] {
		const offsets = records.map((record) => this.appendOne(record, now))
		if (this.entries.length > this.retention) this.entries = this.entries.slice(-this.retention)
		for (const wake of [...this.waiters]) wake()
		return offsets
	}

	read(from: number, limit: number): LogEntry[] {
		const start = Math.max(0, from - this.first)
		return this.entries.slice(start, start + limit)
	}

	/** Resolves once there is a record at offset `from`, or after `milliseconds`. */
	async waitFor(from: number, milliseconds: number): Promise<void> {
		if (this.next > from || milliseconds <= 0) return
		await new Promise<void>((resolve) => {
			const wake = (): void => {
				clearTimeout(timer)
				this.waiters.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, milliseconds)
			this.waiters.add(wake)
		})
	}

	private appendOne(record: string, now: number): number {
		this.lastAt = Math.max(this.lastAt, now)
		this.entries.push({ offset: this.next, at: this.lastAt, record })
		return this.next++
	}
}
