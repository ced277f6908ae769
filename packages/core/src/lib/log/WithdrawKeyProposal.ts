import type { KeyId } from '../ids/KeyId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Withdraws a caller key permanently.
 *
 * @public
 */
export interface WithdrawKeyProposal {
	readonly kind: 'withdraw-key'
	readonly id: ProposalId
	readonly key: KeyId
	readonly operator: string
}
