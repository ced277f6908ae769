import type { Milliseconds, MoveWeights } from '@mastichead/core'
import type { QueueDemand } from './QueueDemand.js'

/**
 * Demand and weights of one move simulation.
 *
 * @internal
 */
export interface MoveScenario {
	readonly name: string
	/** Groups of queues. The queues of a group peak in turn. */
	readonly groups: readonly (readonly QueueDemand[])[]
	readonly weights: MoveWeights
	readonly duration: Milliseconds
	/** Time before measuring starts. */
	readonly warmUp: Milliseconds
}
