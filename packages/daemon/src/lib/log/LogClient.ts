import type { Milliseconds } from '@mastichead/core'
import type { AppendOutcome } from './AppendOutcome.js'
import type { ReadOutcome } from './ReadOutcome.js'

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
	 * @param timeout - how long the answer may take, `wait` included
	 */
	abstract read(
		from: number,
		limit: number,
		wait: Milliseconds,
		timeout: Milliseconds
	): Promise<ReadOutcome>

	/** Appends records in order. */
	abstract append(records: readonly string[], timeout: Milliseconds): Promise<AppendOutcome>

	/** Ends calls under way and closes the connections. */
	abstract close(): Promise<void>
}
