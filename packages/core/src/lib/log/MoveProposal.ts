import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { MoveStep } from './MoveStep.js'

/**
 * One step of moving a backend server to another pool.
 *
 * @public
 */
export interface MoveProposal {
	readonly kind: 'move'
	readonly id: ProposalId
	readonly backendServer: BackendServerId
	readonly from: PoolId
	readonly to: PoolId
	readonly step: MoveStep
	/**
	 * Offset at which the activity that the proposer saw began. The fold rejects the step if another
	 * activity has begun since, even one of the same type.
	 */
	readonly since?: number | undefined
	readonly proposer: string
}
