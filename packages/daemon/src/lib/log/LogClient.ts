import type { Milliseconds } from '@mastichead/core'
import type { AppendOutcome } from './AppendOutcome.js'
import type { ReadOutcome } from './ReadOutcome.js'

/**
 * Client of the platform's log. Calls never throw and end within their timeout.
 *
 * @public
 */
export abstract class LogClient {
	/**
	 * Reads records.
	 *
	 * @param from - first offset to read
	 * @param limit - maximum number of records
	 * @param wait - how long the platform may hold the call open while there are no records, in
	 *   milliseconds
	 * @param timeout - how long the call may take, including `wait`, in milliseconds
	 */
	abstract read(
		from: number,
		limit: number,
		wait: Milliseconds,
		timeout: Milliseconds
	): Promise<ReadOutcome>

	/** Appends records in order. */
	abstract append(records: readonly string[], timeout: Milliseconds): Promise<AppendOutcome>

	/** Aborts the calls in flight and closes the connections. */
	abstract close(): Promise<void>
}
