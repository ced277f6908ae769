import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Marks the offset of a snapshot. Every daemon hashes its state at this offset, and the proposer then
 * appends the parts of the snapshot.
 *
 * @public
 */
export interface SnapshotMarkProposal {
	readonly kind: 'snapshot-mark'
	readonly id: ProposalId
	readonly instance: InstanceId
}
