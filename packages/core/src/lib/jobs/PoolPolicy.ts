import type { MachineMove } from './MachineMove.js'
import type { PoolState } from './PoolState.js'

/**
 * Decides which machines change their pool.
 *
 * @public
 */
export abstract class PoolPolicy {
	/**
	 * @param now - instant of the owner's monotonic clock, in milliseconds
	 */
	abstract plan(pools: readonly PoolState[], now: number): readonly MachineMove[]

	/** Machines of the pool that late work may use; undefined for all. */
	abstract getLateMachineLimit(pool: PoolState): number | undefined

	/** Machines that the pool should have now. */
	abstract getTargetSize(pool: PoolState): number
}
