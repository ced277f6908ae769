import type { KeyId } from '../ids/KeyId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Issues a caller key. The log has only the hash of its secret.
 *
 * @public
 */
export interface IssueKeyProposal {
	readonly kind: 'issue-key'
	readonly id: ProposalId
	readonly key: KeyId
	readonly team: TeamId
	/** SHA-256 of the secret, in hex. */
	readonly hash: string
	readonly operator: string
}
