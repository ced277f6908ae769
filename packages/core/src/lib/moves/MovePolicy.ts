import type { MovePolicyInput } from './MovePolicyInput.js'
import type { PoolMove } from './PoolMove.js'

/**
 * Decides which pools give backend servers to which. Called every tick.
 *
 * @public
 */
export abstract class MovePolicy {
	abstract readonly name: string

	/** Moves to begin now. The planner takes as many as budgets allow, in this order. */
	abstract plan(view: MovePolicyInput): readonly PoolMove[]
}
