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

	/**
	 * Returns how many machines of the pool tasks that end by themselves may use, so that the others fall
	 * idle and can be given to another pool; undefined for no limit.
	 *
	 * @param isLate - whether the tasks are of jobs that can no longer finish on time
	 */
	abstract getMachineLimit(pool: PoolState, isLate: boolean): number | undefined

	/** Returns how many machines the pool should have now. */
	abstract getTargetSize(pool: PoolState): number
}
