import type { QueueRules } from './QueueRules.js'
import type { StepRun } from './StepRun.js'

/**
 * Decides which step is placed first when not all can be.
 *
 * @public
 */
export abstract class OrderPolicy {
	/**
	 * Rank of a step; lower ranks are placed first. Ranks are compared element by element.
	 *
	 * @param wallTime - milliseconds since 1970
	 */
	abstract getRank(run: StepRun, queue: QueueRules, wallTime: number): readonly number[]
}
