import type { LogRecord } from './LogRecord.js'

const MAXIMUM_RECORDS = 20_000
const MAXIMUM_CHARACTERS = 8 * 1024 * 1024
const MAXIMUM_PAGE_RECORDS = 500
const MAXIMUM_PAGE_CHARACTERS = 512 * 1024

/**
 * The most recent records, kept for peers that cannot reach the log. Bounded in records and
 * characters.
 *
 * @internal
 */
export class RecentRecords {
	private records: LogRecord[] = []
	private startIndex = 0
	private characters = 0

	/** Offset of the oldest record kept; undefined if there is none. */
	get firstOffset(): number | undefined {
		return this.records[this.startIndex]?.offset
	}

	push(record: LogRecord): void {
		this.records.push(record)
		this.characters += record.record.length
		while (this.exceedsLimits()) this.dropOldest()
	}

	clear(): void {
		this.records = []
		this.startIndex = 0
		this.characters = 0
	}

	/** @returns a page of records starting at `from`, or undefined if the first is no longer kept */
	read(from: number): readonly LogRecord[] | undefined {
		const first = this.firstOffset
		if (first === undefined || from < first) return undefined
		const page: LogRecord[] = []
		let characters = 0
		for (let index = this.startIndex + from - first; index < this.records.length; index++) {
			const record = this.records[index]
			if (!record || page.length >= MAXIMUM_PAGE_RECORDS) break
			characters += record.record.length
			if (page.length > 0 && characters > MAXIMUM_PAGE_CHARACTERS) break
			page.push(record)
		}
		return page
	}

	private exceedsLimits(): boolean {
		const kept = this.records.length - this.startIndex
		return kept > 1 && (kept > MAXIMUM_RECORDS || this.characters > MAXIMUM_CHARACTERS)
	}

	private dropOldest(): void {
		this.characters -= this.records[this.startIndex]?.record.length ?? 0
		this.startIndex += 1
		if (this.startIndex < this.records.length / 2) return
		this.records = this.records.slice(this.startIndex)
		this.startIndex = 0
	}
}
