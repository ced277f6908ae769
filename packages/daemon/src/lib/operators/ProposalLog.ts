import type { FleetState, Proposal } from '@mastichead/core'
import type { ProposalOutcome } from './ProposalOutcome.js'

/**
 * The log as the operators' server uses it.
 *
 * @public
 */
export abstract class ProposalLog {
	/** State folded so far. */
	abstract readonly state: FleetState

	/**
	 * Appends a proposal and waits for the decision on it. A proposal whose id was decided before
	 * gets that decision. Never rejects.
	 */
	abstract propose(proposal: Proposal): Promise<ProposalOutcome>
}
