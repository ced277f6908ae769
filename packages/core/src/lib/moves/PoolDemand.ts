import type { PoolId } from '../ids/PoolId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Fleet-wide demand on a pool at one instant.
 *
 * @public
 */
export interface PoolDemand {
	readonly pool: PoolId
	readonly running: number
	readonly queued: number
	/** Mean run as measured lately; declared run times are not used. */
	readonly meanRunTime: Milliseconds
	/** Wait that a request in the queue can bear. */
	readonly toleratedWait: Milliseconds
}
