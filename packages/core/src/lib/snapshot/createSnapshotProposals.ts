import type { ProposalId } from '../ids/ProposalId.js'
import type { SnapshotProposal } from '../log/SnapshotProposal.js'
import type { Snapshot } from './Snapshot.js'

/**
 * Creates the proposals for a snapshot, one for each part.
 *
 * @param id - id of the snapshot mark
 *
 * @public
 */
export function createSnapshotProposals(
	snapshot: Snapshot,
	id: ProposalId
): readonly SnapshotProposal[] {
	const { through, hash, parts } = snapshot
	return parts.map((body, part) => ({
		kind: 'snapshot',
		id: `${id}-${part}`,
		through,
		hash,
		part,
		parts: parts.length,
		body,
	}))
}
