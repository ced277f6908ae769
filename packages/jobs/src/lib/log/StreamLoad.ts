import type { LogStream } from '../ports/LogStream.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { ReadNewestResult } from '../ports/ReadNewestResult.js'

/**
 * Reads the newest record of each key of a stream page by page. A page that failed is read again;
 * the pages before it are not.
 *
 * @public
 */
export class StreamLoad {
	/** Keys on the pages that have been read. */
	readonly keys = new Set<string>()
	/** Offset of the latest deletion of each key that was deleted while the load was going on. */
	readonly deletions = new Map<string, number>()
	/** Offset from which to read on after the load: the end of the stream at the first page. */
	next: number | undefined
	/** Size of the pages that have been read, if the log measures it. */
	bytes: number | undefined
	/** Number of times that the load was begun or gone on with. */
	tries = 0
	/** Whether the last page has been read. */
	complete = false
	private lastKey: string | undefined

	/**
	 * @param startedAt - monotonic instant
	 */
	constructor(
		private readonly stream: LogStream,
		private readonly log: MetadataLog,
		readonly startedAt: number
	) {}

	/**
	 * Reads the page after the latest one that was read.
	 *
	 * @param answerTimeout - milliseconds in which the answer must begin
	 */
	async readPage(answerTimeout: number): Promise<ReadNewestResult> {
		const page = await this.log.readNewest(this.stream, this.lastKey, answerTimeout)
		if (page.kind === 'unavailable') return page
		for (const { key } of page.entries) this.keys.add(key)
		if (page.bytes !== undefined) this.bytes = (this.bytes ?? 0) + page.bytes
		this.next ??= page.next
		this.lastKey = page.lastKey
		this.complete = page.lastKey === undefined
		return page
	}
}
