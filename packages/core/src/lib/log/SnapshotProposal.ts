import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Carries a part of the state folded up to `through`, so that a new daemon need not read what the log no longer keeps.
 *
 * @public
 */
export interface SnapshotProposal {
	readonly kind: 'snapshot'
	readonly id: ProposalId
	/** Last offset folded into the snapshot. */
	readonly through: number
	/** SHA-256 of the encoded state, in hex; the same in all parts. */
	readonly hash: string
	readonly part: number
	readonly parts: number
	/** Slice of the compressed state in base64. */
	readonly body: string
}
