import type { PoolId } from '../ids/PoolId.js'

/**
 * Numbers of backend servers of a pool that are in service and out of service.
 *
 * @public
 */
export interface PoolAvailability {
	readonly pool: PoolId
	/** Serving and healthy. */
	readonly available: number
	/** Draining, joining, in maintenance, failed, or of unknown health. */
	readonly unavailable: number
}
