import type { JobRow } from './JobRow.js'

/**
 * What is left of a job, and until when it has to be done.
 *
 * @public
 */
export interface RemainingWork {
	readonly row: JobRow
	/** When the job has to be done to be in time, in milliseconds since 1970. */
	readonly dueAt: number
	/** Longest chain of work that is left, in milliseconds. */
	readonly criticalPath: number
	/** Work that is left, in core-milliseconds. */
	readonly work: number
}
