import type { JobId } from './JobId.js'
import type { JobState } from './JobState.js'
import type { StepExplanation } from './StepExplanation.js'

/**
 * What one instance knows of a job, for operators.
 *
 * @public
 */
export interface JobReport {
	readonly job: JobId
	/** Undefined if this instance has not read the job. */
	readonly state: JobState | undefined
	/** Empty while the job has not been read. */
	readonly queue: string
	readonly team: string
	/** Milliseconds since the job was accepted; 0 while it has not been read. */
	readonly age: number
	/** Version of the configuration in force here. */
	readonly configuration: number
	/** Milliseconds since the log last answered this instance; undefined before the first answer. */
	readonly logSilence: number | undefined
	/** Whether this instance is the owner; only the owner knows of steps. */
	readonly owner: boolean
	readonly steps: readonly StepExplanation[]
}
