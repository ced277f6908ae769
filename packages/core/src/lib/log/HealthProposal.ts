import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Reports backend servers whose health has changed, as observed by one entry instance.
 *
 * @public
 */
export interface HealthProposal {
	readonly kind: 'health'
	readonly id: ProposalId
	readonly instance: InstanceId
	readonly failed: readonly BackendServerId[]
	readonly healthy: readonly BackendServerId[]
}
