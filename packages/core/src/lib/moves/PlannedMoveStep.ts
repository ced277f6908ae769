import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { MoveStep } from '../log/MoveStep.js'

/**
 * A step of a move that is due.
 *
 * @public
 */
export interface PlannedMoveStep {
	readonly backendServer: BackendServerId
	readonly from: PoolId
	readonly to: PoolId
	readonly step: MoveStep
	/** Offset since which the backend server does what the step follows from. */
	readonly since: number
}
