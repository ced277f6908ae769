import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Marks an offset for a snapshot. Every daemon takes the hash of its state here; the proposer
 * appends the parts of the snapshot afterwards.
 *
 * @public
 */
export interface SnapshotMarkProposal {
	readonly kind: 'snapshot-mark'
	readonly id: ProposalId
	readonly instance: InstanceId
}
