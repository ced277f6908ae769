import type { Milliseconds, MoveWeights } from '@mastichead/core'
import type { QueueDemand } from './QueueDemand.js'

/**
 * Demand and rules under which move policies are compared.
 *
 * @internal
 */
export interface MoveScenario {
	readonly name: string
	/** Groups of queues; within each the queues peak in turn. */
	readonly groups: readonly (readonly QueueDemand[])[]
	readonly weights: MoveWeights
	readonly duration: Milliseconds
	/** Time that is not measured. */
	readonly warmUp: Milliseconds
}
