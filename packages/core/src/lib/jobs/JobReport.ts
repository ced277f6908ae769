import type { JobId } from './JobId.js'
import type { JobState } from './JobState.js'
import type { StepExplanation } from './placement/StepExplanation.js'

/**
 * Report of one instance about a job, for operators.
 *
 * @public
 */
export interface JobReport {
	readonly job: JobId
	/** Undefined if this instance has not read the job from the log. */
	readonly state: JobState | undefined
	/** Empty if this instance has not read the job. */
	readonly queue: string
	readonly team: string
	/** Milliseconds since the job was accepted; 0 if this instance has not read it. */
	readonly age: number
	/** Version of the configuration that this instance uses. */
	readonly configuration: number
	/** Milliseconds since the log last answered this instance; undefined before the first answer. */
	readonly logSilence: number | undefined
	/** Whether this instance is the owner. Only the owner reports steps. */
	readonly owner: boolean
	readonly steps: readonly StepExplanation[]
}
