import type { QueueRules } from '../QueueRules.js'
import type { ReadyStep } from './ReadyStep.js'

/**
 * A step that is ready to be placed, with the rules of its queue.
 *
 * @public
 */
export interface SchedulingCandidate {
	readonly readyStep: ReadyStep
	readonly queue: QueueRules
}
