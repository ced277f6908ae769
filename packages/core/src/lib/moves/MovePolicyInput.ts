import type { Milliseconds } from '../time/Milliseconds.js'
import type { PoolCapacity } from './PoolCapacity.js'

/**
 * Capacity and demand of all pools at one point in time, from which a move policy plans.
 *
 * @public
 */
export interface MovePolicyInput {
	/** Time on the proposer's monotonic clock. */
	readonly now: Milliseconds
	readonly pools: readonly PoolCapacity[]
}
