import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Removes an entry instance that runs nothing any more; its allowances become free.
 *
 * @public
 */
export interface LeaveProposal {
	readonly kind: 'leave'
	readonly id: ProposalId
	readonly instance: InstanceId
}
