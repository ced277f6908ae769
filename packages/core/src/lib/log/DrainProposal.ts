import type { BackendServerId } from '../ids/BackendServerId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Drains a backend server, so that it gets no new requests, or returns it to service.
 *
 * @public
 */
export interface DrainProposal {
	readonly kind: 'drain'
	readonly id: ProposalId
	readonly backendServer: BackendServerId
	/** False to return the backend server to service. */
	readonly draining: boolean
	/** Drains the backend server even if that breaks the availability budget of its pool. */
	readonly override?: boolean | undefined
	readonly operator: string
}
