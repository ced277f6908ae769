import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { MoveStep } from './MoveStep.js'

/**
 * Carries one step of moving a backend server to another pool.
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
	readonly proposer: string
}
