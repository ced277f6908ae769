import type { JobRow } from './JobRow.js'
import type { JobStep } from './JobStep.js'
import type { TaskRow } from './TaskRow.js'

/**
 * A step of one occurrence of a job whose turn has come, with the tasks that wait for a place.
 *
 * @public
 */
export interface ReadyStep {
	readonly row: JobRow
	readonly step: JobStep
	readonly stepNumber: number
	readonly occurrence: number
	/** Every task of the step in this occurrence. */
	readonly members: readonly TaskRow[]
	/** Those of `members` that wait. */
	readonly pending: readonly TaskRow[]
}
