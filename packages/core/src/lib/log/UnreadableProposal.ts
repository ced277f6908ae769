import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Stands for a record that is not a valid proposal. It is always rejected, and keeps the offsets of
 * the log without a gap.
 *
 * @public
 */
export interface UnreadableProposal {
	readonly kind: 'unreadable'
	/** `unreadable-` and the offset of the record. */
	readonly id: ProposalId
	/** Why the record could not be parsed. */
	readonly reason: string
}
