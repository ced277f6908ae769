import type { Job } from './Job.js'
import type { JobState } from './JobState.js'
import type { TaskRow } from './TaskRow.js'

/**
 * State of a job as the owner tracks it.
 *
 * @public
 */
export interface JobRow {
	readonly job: Job
	readonly tasks: TaskRow[]
	state: JobState
	/** Whether the caller has cancelled the job. */
	cancelled: boolean
	/** Whether a backend server has shown that it has begun a run of any task. */
	begun: boolean
	/** Time at which the job reached a final state, in milliseconds since 1970. */
	finishedAt: number | undefined
}
