import type { MovePolicyInput } from './MovePolicyInput.js'
import type { PoolMove } from './PoolMove.js'

/**
 * Decides which backend servers move between pools. Called every tick.
 *
 * @public
 */
export abstract class MovePolicy {
	abstract readonly name: string

	/** Returns the moves to start now. The planner starts as many as budgets allow, in this order. */
	abstract plan(input: MovePolicyInput): readonly PoolMove[]
}
