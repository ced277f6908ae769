import type { JobRow } from '../JobRow.js'
import type { JobStep } from '../JobStep.js'
import type { TaskRow } from '../TaskRow.js'

/**
 * A step of one occurrence of a job whose dependencies are done, with its tasks to place.
 *
 * @public
 */
export interface ReadyStep {
	readonly row: JobRow
	readonly step: JobStep
	readonly stepNumber: number
	readonly occurrence: number
	/** All tasks of the step in this occurrence. */
	readonly members: readonly TaskRow[]
	/** The `members` that can be placed now. */
	readonly pending: readonly TaskRow[]
}
