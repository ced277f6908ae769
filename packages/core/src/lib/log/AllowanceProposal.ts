import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { AllowanceChange } from './AllowanceChange.js'

/**
 * Requests or releases allowance. An increase is granted only up to the limit of the team. The holder
 * stops using released units before it sends the proposal.
 *
 * @public
 */
export interface AllowanceProposal {
	readonly kind: 'allowance'
	readonly id: ProposalId
	readonly instance: InstanceId
	/** Increases with each allowance proposal of the instance; the fold rejects it otherwise. */
	readonly sequence: number
	readonly changes: readonly AllowanceChange[]
}
