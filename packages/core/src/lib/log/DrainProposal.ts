import type { BackendServerId } from '../ids/BackendServerId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Takes a backend server out of service for new work, or puts it back.
 *
 * @public
 */
export interface DrainProposal {
	readonly kind: 'drain'
	readonly id: ProposalId
	readonly backendServer: BackendServerId
	readonly draining: boolean
	/** Drains although the availability budget of the pool does not hold afterwards. */
	readonly override?: boolean | undefined
	readonly operator: string
}
