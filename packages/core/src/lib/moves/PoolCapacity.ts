import type { PoolId } from '../ids/PoolId.js'
import type { PoolDemand } from './PoolDemand.js'

/**
 * What a pool has and what is asked of it.
 *
 * @public
 */
export interface PoolCapacity {
	readonly pool: PoolId
	/** Whether its backend servers stand by for other pools. */
	readonly spare: boolean
	/** Backend servers serving and healthy. */
	readonly available: number
	/** Backend servers on their way into it. */
	readonly arriving: number
	/** Backend servers that its availability budget lets go now. */
	readonly movable: number
	/** Requests that one of its backend servers runs at once, on average. */
	readonly slotsPerServer: number
	readonly demand: PoolDemand
}
