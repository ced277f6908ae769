import type { TaskRow } from '../TaskRow.js'

/**
 * Returns how long the current run of a task is known to have lasted, in milliseconds: from its start
 * order to the latest look at its backend server that found it running. Negative if it was not found.
 *
 * @public
 */
export function getRunAge({ startedAt, listedAt }: TaskRow): number {
	return listedAt - startedAt
}
