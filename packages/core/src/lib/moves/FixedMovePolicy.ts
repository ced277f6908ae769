import { MovePolicy } from './MovePolicy.js'
import type { PoolMove } from './PoolMove.js'

/**
 * Never moves a backend server. Used as a baseline.
 *
 * @public
 */
export class FixedMovePolicy extends MovePolicy {
	override readonly name = 'fixed'

	override plan(): readonly PoolMove[] {
		return []
	}
}
