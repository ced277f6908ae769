import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Removes an entry instance that has no running requests, and frees its allowances.
 *
 * @public
 */
export interface LeaveProposal {
	readonly kind: 'leave'
	readonly id: ProposalId
	readonly instance: InstanceId
}
