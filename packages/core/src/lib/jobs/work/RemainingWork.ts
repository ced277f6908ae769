import type { JobRow } from '../JobRow.js'

/**
 * Estimated remaining work of one occurrence of a job, and when it is due.
 *
 * @public
 */
export interface RemainingWork {
	readonly row: JobRow
	/** Time by which the occurrence must be done to be on time, in milliseconds since 1970. */
	readonly dueAt: number
	/** Length of the longest chain of remaining tasks, in milliseconds. */
	readonly criticalPath: number
	/** Work of the tasks that are not placed, in core-milliseconds. */
	readonly pendingWork: number
	/** Cores that the unplaced tasks of steps that wait for no other step need. */
	readonly readyCores: number
}
