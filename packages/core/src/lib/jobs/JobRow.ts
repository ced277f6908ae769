import type { Job } from './Job.js'
import type { JobState } from './JobState.js'
import type { TaskRow } from './TaskRow.js'

/**
 * Row of a job in the owner's tables.
 *
 * @public
 */
export interface JobRow {
	readonly job: Job
	readonly tasks: TaskRow[]
	state: JobState
	/** The caller has cancelled the job. */
	cancelled: boolean
	/** A task of it has been started at least once. */
	begun: boolean
	/** When it reached a final state, in milliseconds since 1970. */
	finishedAt: number | undefined
}
