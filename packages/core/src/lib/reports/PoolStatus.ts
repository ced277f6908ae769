import type { PoolId } from '../ids/PoolId.js'

/**
 * One pool over the whole fleet.
 *
 * @public
 */
export interface PoolStatus {
	readonly pool: PoolId
	readonly spare: boolean
	readonly running: number
	readonly queued: number
	/** Slots of the backend servers that are in service. */
	readonly slots: number
	/** Backend servers in service. */
	readonly available: number
	/** Backend servers that drain, join, are in maintenance, failed or of unknown health. */
	readonly unavailable: number
	readonly minimumAvailable: number
	readonly maximumUnavailable: number
}
