import type { Milliseconds } from '../time/Milliseconds.js'
import type { PoolSupply } from './PoolSupply.js'

/**
 * What a move policy decides on.
 *
 * @public
 */
export interface MoveView {
	/** Instant of the proposer's monotonic clock. */
	readonly now: Milliseconds
	readonly pools: readonly PoolSupply[]
}
