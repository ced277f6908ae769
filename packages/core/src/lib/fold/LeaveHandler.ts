import type { LeaveProposal } from '../log/LeaveProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Removes a member and frees its allowances. A member leaves once none of its requests run.
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
