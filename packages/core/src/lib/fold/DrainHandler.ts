import { HealthView } from '../health/HealthView.js'
import type { DrainProposal } from '../log/DrainProposal.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { FleetState } from '../state/FleetState.js'
import { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import { ProposalHandler } from './ProposalHandler.js'
import { setActivity } from './setActivity.js'

/**
 * Handles drains by operators. A drain must keep the availability budget unless it overrides it. A
 * failed backend server may always be drained, since it is already out of service.
 *
 * @public
 */
export class DrainHandler extends ProposalHandler<'drain'> {
	override readonly kind = 'drain'

	override check(state: FleetState, proposal: DrainProposal): string | undefined {
		const { backendServer } = proposal
		const placement = state.placements.get(backendServer)
		if (!placement) return `unknown backend server ${backendServer}`
		const { activity } = placement
		if (!proposal.draining) {
			if (activity.type === 'draining' && activity.reason === 'operator') return undefined
			return `${backendServer} is not drained by an operator`
		}
		if (activity.type !== 'serving') return `${backendServer} is already ${activity.type}`
		if (proposal.override) return undefined
		if (new HealthView(state).getHealth(backendServer) === 'failed') return undefined
		return new AvailabilityLedger(state, placement.pool).checkDrain(backendServer)
	}

	override apply(state: FleetState, proposal: DrainProposal, entry: LogEntry): void {
		const activity = proposal.draining
			? ({ type: 'draining', reason: 'operator' } as const)
			: ({ type: 'serving' } as const)
		setActivity(state, proposal.backendServer, activity, entry)
	}
}
