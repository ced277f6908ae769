import type { HeartbeatProposal } from '../log/HeartbeatProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Renews the lease of a member. Allowance that was reclaimed after a lapse is not given back.
 *
 * @internal
 */
export class HeartbeatHandler extends ProposalHandler<'heartbeat'> {
	override readonly kind = 'heartbeat'

	override check(state: FleetState, proposal: HeartbeatProposal): string | undefined {
		return state.members.has(proposal.instance) ? undefined : 'unknown member'
	}

	override apply(state: FleetState, proposal: HeartbeatProposal): void {
		const member = state.members.get(proposal.instance)
		if (!member) return
		state.members.set(member.instance, { ...member, renewedAt: state.at, lapsed: false })
	}
}
