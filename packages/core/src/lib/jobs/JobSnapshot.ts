import type { BackendId } from './BackendId.js'
import type { JobState } from './JobState.js'
import type { RunUse } from './RunUse.js'
import type { UnexplainedLoss } from './health/UnexplainedLoss.js'

/**
 * A job's progress as it is stored in the log.
 *
 * @public
 */
export interface JobSnapshot {
	readonly state: JobState
	/**
	 * Whether a backend server has shown that it has begun a run of any task. In records of earlier versions, whether
	 * any task has been placed.
	 */
	readonly begun: boolean
	/** Time at which the job reached a final state, in milliseconds since 1970; undefined before. */
	readonly finishedAt: number | undefined
	/** Progress of each task that is not in its initial state. */
	readonly tasks: readonly TaskSnapshot[]
}

interface TaskSnapshot {
	/** Index in the job's list of tasks. */
	readonly place: number
	readonly phase: 'pending' | 'placed' | 'done' | 'failed' | 'dropped'
	readonly attempt: number
	readonly failures: number
	/** Crashes of backend servers that the task may have caused. */
	readonly crashes: number
	/** Whether it may have crashed a backend server, so that it is started apart from other jobs. */
	readonly isSuspected: boolean
	readonly unexplainedLoss?: UnexplainedLoss
	readonly backend: BackendId | undefined
	readonly checkpoint: string
	/** What the run of a placed task uses; absent in records of versions that did not keep it. */
	readonly use?: RunUse
}
