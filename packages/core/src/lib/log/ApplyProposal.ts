import type { FleetPatch } from '../fleet/FleetPatch.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Replaces the fleet document if `base` is still the current version.
 *
 * @public
 */
export interface ApplyProposal {
	readonly kind: 'apply'
	readonly id: ProposalId
	/** Version that the document replaces; 0 for the first. */
	readonly base: number
	readonly patch: FleetPatch
	readonly operator: string
}
