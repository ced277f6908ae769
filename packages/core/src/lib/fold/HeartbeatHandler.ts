import { expireMembers } from '../allowance/expireMembers.js'
import { getMemberPhase } from '../allowance/getMemberPhase.js'
import type { HeartbeatProposal } from '../log/HeartbeatProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Renews the lease of a member. A part that expired before stays lost.
 *
 * @internal
 */
export class HeartbeatHandler extends ProposalHandler<'heartbeat'> {
	override readonly kind = 'heartbeat'

	override check(state: FleetState, proposal: HeartbeatProposal): string | undefined {
		const member = state.members.get(proposal.instance)
		if (!member || getMemberPhase(state, member, state.at) === 'gone') return 'unknown member'
		return undefined
	}

	override apply(state: FleetState, proposal: HeartbeatProposal): void {
		expireMembers(state, state.at)
		const member = state.members.get(proposal.instance)
		if (!member) return
		state.members.set(member.instance, { ...member, renewedAt: state.at, lapsed: false })
	}
}
