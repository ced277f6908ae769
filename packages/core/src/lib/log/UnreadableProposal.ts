import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Stands for a record that is not a proposal. It holds its offset and is always rejected.
 *
 * @public
 */
export interface UnreadableProposal {
	readonly kind: 'unreadable'
	/** Names the record's offset. */
	readonly id: ProposalId
	readonly reason: string
}
