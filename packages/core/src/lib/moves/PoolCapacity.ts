import type { PoolId } from '../ids/PoolId.js'
import type { PoolDemand } from './PoolDemand.js'

/**
 * Backend servers of a pool and the demand on it.
 *
 * @public
 */
export interface PoolCapacity {
	readonly pool: PoolId
	/** Whether the pool holds spare backend servers for other pools. */
	readonly spare: boolean
	/** Number of backend servers that are serving and healthy. */
	readonly available: number
	/** Number of backend servers that are moving into the pool. */
	readonly arriving: number
	/** Number of backend servers that may leave now within the pool's availability budget. */
	readonly movable: number
	/** Mean number of slots of its backend servers. */
	readonly slotsPerServer: number
	readonly demand: PoolDemand
}
