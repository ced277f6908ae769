import type { LeaveProposal } from '../log/LeaveProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Removes a member that runs nothing any more, with all that it holds.
 *
 * @internal
 */
export class LeaveHandler extends ProposalHandler<'leave'> {
	override readonly kind = 'leave'

	override check(state: FleetState, proposal: LeaveProposal): string | undefined {
		return state.members.has(proposal.instance) ? undefined : 'unknown member'
	}

	override apply(state: FleetState, proposal: LeaveProposal): void {
		state.members.delete(proposal.instance)
	}
}
