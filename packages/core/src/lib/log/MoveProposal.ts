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
	/**
	 * Offset since which the backend server does what the proposer saw it do. The fold rejects the
	 * step once it does something else, also when it has come back to the same activity.
	 */
	readonly since?: number | undefined
	readonly proposer: string
}
