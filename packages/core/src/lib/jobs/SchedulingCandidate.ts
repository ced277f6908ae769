import type { QueueRules } from './QueueRules.js'
import type { ReadyStep } from './ReadyStep.js'

/**
 * A step that waits for places, with the rules of its queue.
 *
 * @public
 */
export interface SchedulingCandidate {
	readonly readyStep: ReadyStep
	readonly queue: QueueRules
}
