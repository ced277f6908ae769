import type { BackendId } from './BackendId.js'
import type { JobState } from './JobState.js'

/**
 * A job's progress as it is kept in the log.
 *
 * @public
 */
export interface JobSnapshot {
	readonly state: JobState
	readonly begun: boolean
	/** Milliseconds since 1970; undefined while the job is not final. */
	readonly finishedAt: number | undefined
	/** One entry per task that is not untouched, by its place in the job's list of tasks. */
	readonly tasks: readonly TaskSnapshot[]
}

interface TaskSnapshot {
	readonly place: number
	readonly phase: 'pending' | 'placed' | 'done' | 'failed' | 'dropped'
	readonly attempt: number
	readonly failures: number
	readonly backend: BackendId | undefined
	readonly checkpoint: string
}
