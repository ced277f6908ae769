import type { LogRow } from './LogRow.js'

/**
 * An append-only log in memory that keeps the newest `retention` records.
 *
 * @internal
 */
export class PlatformLog {
	private rows: LogRow[] = []
	private lastAt = 0
	private readonly waiting = new Set<() => void>()

	/** @param retention - records kept; older ones are gone for good */
	constructor(private readonly retention: number) {}

	/** Offset of the oldest record that is kept. */
	get first(): number {
		return this.rows[0]?.offset ?? this.next
	}

	/** Offset that the next record gets. */
	next = 0

	/** @param now - platform clock, in milliseconds */
	append(records: readonly string[], now: number): number[] {
		const offsets = records.map((record) => this.appendOne(record, now))
		if (this.rows.length > this.retention) this.rows = this.rows.slice(-this.retention)
		for (const wake of [...this.waiting]) wake()
		return offsets
	}

	read(from: number, limit: number): LogRow[] {
		const start = Math.max(0, from - this.first)
		return this.rows.slice(start, start + limit)
	}

	/** Resolves when there is a record at `from`, or after `milliseconds`. */
	async waitFor(from: number, milliseconds: number): Promise<void> {
		if (this.next > from || milliseconds <= 0) return
		await new Promise<void>((resolve) => {
			const wake = (): void => {
				clearTimeout(timer)
				this.waiting.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, milliseconds)
			this.waiting.add(wake)
		})
	}

	private appendOne(record: string, now: number): number {
		this.lastAt = Math.max(this.lastAt, now)
		this.rows.push({ offset: this.next, at: this.lastAt, record })
		return this.next++
	}
}
