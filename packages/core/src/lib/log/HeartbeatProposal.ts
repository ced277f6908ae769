import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Renews the lease of an entry instance.
 *
 * @public
 */
export interface HeartbeatProposal {
	readonly kind: 'heartbeat'
	readonly id: ProposalId
	readonly instance: InstanceId
}
