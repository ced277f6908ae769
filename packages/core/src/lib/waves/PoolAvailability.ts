import type { PoolId } from '../ids/PoolId.js'

/**
 * How many backend servers of a pool are in service.
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
