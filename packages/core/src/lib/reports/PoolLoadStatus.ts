import type { PoolId } from '../ids/PoolId.js'

/**
 * Requests of one team in one pool at one daemon.
 *
 * @public
 */
export interface PoolLoadStatus {
	readonly pool: PoolId
	readonly running: number
	readonly queued: number
}
