import type { QueueRules } from './QueueRules.js'
import type { StepRun } from './StepRun.js'

/**
 * A step that waits for places, with the rules of its queue.
 *
 * @public
 */
export interface OrderCandidate {
	readonly run: StepRun
	readonly queue: QueueRules
}
