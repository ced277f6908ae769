import type { ProposalId } from '../ids/ProposalId.js'

/**
 * One part of a snapshot of the state. A new daemon starts from a snapshot, since the log no longer
 * has the entries before it.
 *
 * @public
 */
export interface SnapshotProposal {
	readonly kind: 'snapshot'
	readonly id: ProposalId
	/** Last offset that the snapshot includes. */
	readonly through: number
	/** SHA-256 of the encoded state before compression, in hex; the same in all parts. */
	readonly hash: string
	/** Index of this part, from 0. */
	readonly part: number
	/** Number of parts. */
	readonly parts: number
	/** Slice of the base64 text of the compressed state. */
	readonly body: string
}
