import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { AllowanceChange } from './AllowanceChange.js'

/**
 * Takes or releases allowance. An increase is granted as far as the limit has room; a decrease was subtracted by the holder before it was appended.
 *
 * @public
 */
export interface AllowanceProposal {
	readonly kind: 'allowance'
	readonly id: ProposalId
	readonly instance: InstanceId
	/** Grows with each allowance proposal of the instance; the fold rejects one that does not. */
	readonly sequence: number
	readonly changes: readonly AllowanceChange[]
}
