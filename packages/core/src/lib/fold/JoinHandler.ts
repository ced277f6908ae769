import type { JoinProposal } from '../log/JoinProposal.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Adds a member without allowances. Rejects the name of a current member.
 *
 * @internal
 */
export class JoinHandler extends ProposalHandler<'join'> {
	override readonly kind = 'join'

	override check(state: FleetState, proposal: JoinProposal): string | undefined {
		if (proposal.instance === '') return 'instance name is empty'
		if (state.members.has(proposal.instance)) return 'instance has joined already'
		return undefined
	}

	override apply(state: FleetState, proposal: JoinProposal, entry: LogEntry): void {
		state.members.set(proposal.instance, {
			instance: proposal.instance,
			availabilityZone: proposal.availabilityZone,
			peerAddress: proposal.peerAddress,
			joinedOffset: entry.offset,
			renewedAt: state.at,
			lapsed: false,
			sequence: 0,
			allowances: new Map(),
		})
	}
}
