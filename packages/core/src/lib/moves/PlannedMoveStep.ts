import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { MoveStep } from '../log/MoveStep.js'

/**
 * The next step of a move, to be proposed to the log.
 *
 * @public
 */
export interface PlannedMoveStep {
	readonly backendServer: BackendServerId
	readonly from: PoolId
	readonly to: PoolId
	readonly step: MoveStep
	/** Log offset at which the backend server's current activity began; 0 for its first activity. */
	readonly since: number
}
