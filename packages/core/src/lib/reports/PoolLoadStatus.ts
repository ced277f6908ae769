import type { PoolId } from '../ids/PoolId.js'

/**
 * Number of requests of one team in one pool at one daemon.
 *
 * @public
 */
export interface PoolLoadStatus {
	readonly pool: PoolId
	readonly running: number
	readonly queued: number
}
