import type { PoolId } from '../ids/PoolId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Fleet-wide demand on a pool at one point in time.
 *
 * @public
 */
export interface PoolDemand {
	readonly pool: PoolId
	/** Number of running requests. */
	readonly running: number
	/** Number of queued requests. */
	readonly queued: number
	/** Recently measured mean run time of a request. Declared run times are not used. */
	readonly meanRunTime: Milliseconds
	/** Time that a request may wait in the queue. */
	readonly toleratedWait: Milliseconds
}
