import type { MachineMove } from './MachineMove.js'
import type { PoolState } from './PoolState.js'

/**
 * Decides which machines move to another pool.
 *
 * @public
 */
export abstract class PoolPolicy {
	/**
	 * Returns the moves to make now.
	 *
	 * @param now - time on the owner's monotonic clock, in milliseconds
	 */
	abstract plan(pools: readonly PoolState[], now: number): readonly MachineMove[]

	/** Returns how many machines of the pool late jobs may use; undefined for no limit. */
	abstract getLateMachineLimit(pool: PoolState): number | undefined

	/** Returns how many machines the pool should have now. */
	abstract getTargetSize(pool: PoolState): number
}
