import { MovePolicy } from '../../moves/MovePolicy.js'
import type { MovePolicyInput } from '../../moves/MovePolicyInput.js'
import type { PoolMove } from '../../moves/PoolMove.js'
import { maintenanceFleet } from './maintenanceFleet.js'

const { tick: TICK } = maintenanceFleet

/** Requests moves at regular intervals, so that they overlap with all other events. */
export class PeriodicMovePolicy extends MovePolicy {
	override readonly name = 'periodic'

	override plan({ now, pools }: MovePolicyInput): readonly PoolMove[] {
		const [from, to] = [pools[(now / TICK) % 3], pools[(now / TICK + 1) % 3]]
		return from && to && now % (7 * TICK) === 0 ? [{ from: from.pool, to: to.pool }] : []
	}
}
