import type { MachineMove } from './MachineMove.js'
import type { PoolSituation } from './PoolSituation.js'

/**
 * Decides which machines change their pool.
 *
 * @public
 */
export abstract class PoolPolicy {
	/**
	 * @param now - instant of the owner's monotonic clock, in milliseconds
	 */
	abstract plan(pools: readonly PoolSituation[], now: number): readonly MachineMove[]

	/** Machines of the pool that late work may use; undefined for all. */
	abstract getLateMachines(pool: PoolSituation): number | undefined

	/** Machines that the pool should have now. */
	abstract getWanted(pool: PoolSituation): number
}
