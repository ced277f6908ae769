import type { Milliseconds } from '@mastichead/core'
import type { LogAppend } from './LogAppend.js'
import type { LogRead } from './LogRead.js'

/**
 * Access to the platform's log. Calls never throw and end by their deadline.
 *
 * @public
 */
export abstract class LogClient {
	/**
	 * Reads records.
	 *
	 * @param from - first offset wanted
	 * @param limit - records wanted at most
	 * @param wait - how long the platform may hold the call back while there is nothing newer
	 * @param deadline - how long the answer may take, `wait` included
	 */
	abstract read(
		from: number,
		limit: number,
		wait: Milliseconds,
		deadline: Milliseconds
	): Promise<LogRead>

	/** Appends records in order. */
	abstract append(records: readonly string[], deadline: Milliseconds): Promise<LogAppend>

	/** Ends calls under way and closes the connections. */
	abstract close(): Promise<void>
}
