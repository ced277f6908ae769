import type { AppendResult } from './AppendResult.js'
import type { JoinResult } from './JoinResult.js'
import type { LogFence } from './LogFence.js'
import type { LogRecord } from './LogRecord.js'
import type { LogStream } from './LogStream.js'
import type { ReadNewestResult } from './ReadNewestResult.js'
import type { ReadResult } from './ReadResult.js'

/**
 * The platform's metadata log.
 *
 * @public
 */
export abstract class MetadataLog {
	/**
	 * Appends all records or none. With a fence and no records, only raises the term of the stream.
	 *
	 * @param timeout - milliseconds after which the outcome is `unknown`
	 */
	abstract append(
		stream: LogStream,
		records: readonly LogRecord[],
		timeout: number,
		fence?: LogFence
	): Promise<AppendResult>

	/**
	 * Reads the records from an offset on.
	 *
	 * @param wait - milliseconds to wait for a record if there is none yet
	 * @param answerTimeout - milliseconds after that in which the answer must begin
	 */
	abstract read(
		stream: LogStream,
		from: number,
		wait: number,
		answerTimeout?: number
	): Promise<ReadResult>

	/**
	 * Reads a page of the newest record of each key, in the order of the keys. Pages are no snapshot.
	 *
	 * @param lastKey - last key of the page before; undefined for the first page
	 * @param answerTimeout - milliseconds in which the answer must begin
	 */
	abstract readNewest(
		stream: LogStream,
		lastKey?: string,
		answerTimeout?: number
	): Promise<ReadNewestResult>

	/**
	 * Joins the group of instances, or renews the membership.
	 *
	 * @param timeToLive - milliseconds after which the membership expires unless it is renewed
	 * @param generation - the latest generation that was received; 0 before the first
	 */
	abstract join(member: string, timeToLive: number, generation: number): Promise<JoinResult>

	/** Leaves the group. */
	abstract leave(member: string): Promise<void>
}
