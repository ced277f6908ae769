import type { Milliseconds } from '../time/Milliseconds.js'
import type { PoolCapacity } from './PoolCapacity.js'

/**
 * What a move policy decides on.
 *
 * @public
 */
export interface MovePolicyInput {
	/** Instant of the proposer's monotonic clock. */
	readonly now: Milliseconds
	readonly pools: readonly PoolCapacity[]
}
