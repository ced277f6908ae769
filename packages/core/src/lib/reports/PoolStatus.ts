import type { PoolId } from '../ids/PoolId.js'

/**
 * Status of one pool, summed over the fleet.
 *
 * @public
 */
export interface PoolStatus {
	readonly pool: PoolId
	readonly spare: boolean
	readonly running: number
	readonly queued: number
	/** Total slots of the backend servers in service. */
	readonly slots: number
	/** Number of backend servers in service. */
	readonly available: number
	/** Number of backend servers draining, joining, in maintenance, failed or of unknown health. */
	readonly unavailable: number
	readonly minimumAvailable: number
	readonly maximumUnavailable: number
}
