import { HealthView } from '../health/HealthView.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { MoveProposal } from '../log/MoveProposal.js'
import type { FleetState } from '../state/FleetState.js'
import type { Placement } from '../state/Placement.js'
import { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import { ProposalHandler } from './ProposalHandler.js'
import { checkActivityStart } from './checkActivityStart.js'
import { setActivity } from './setActivity.js'

/**
 * Handles the steps of moves between pools. A move drains the backend server within the availability
 * budget of its pool, assigns it to the other pool in one entry, and returns it to service once it is
 * healthy. An abort returns it to the pool that it came from.
 *
 * @public
 */
export class MoveHandler extends ProposalHandler<'move'> {
	override readonly kind = 'move'

	override check(state: FleetState, proposal: MoveProposal): string | undefined {
		const placement = state.placements.get(proposal.backendServer)
		if (!placement) return `unknown backend server ${proposal.backendServer}`
		const staleReason = checkActivityStart(placement, proposal.since, proposal.step === 'reassign')
		if (staleReason !== undefined) return staleReason
		switch (proposal.step) {
			case 'drain':
				return checkDrain(state, proposal, placement)
			case 'reassign':
				return checkReassign(state, proposal, placement)
			case 'finish':
				return checkFinish(state, proposal, placement)
			case 'abort':
				return checkAbort(state, proposal, placement)
		}
	}

	override apply(state: FleetState, proposal: MoveProposal, entry: LogEntry): void {
		const { backendServer, from, to } = proposal
		switch (proposal.step) {
			case 'drain':
				setActivity(state, backendServer, { type: 'draining', reason: 'move', to }, entry)
				return
			case 'reassign':
				setActivity(state, backendServer, { type: 'joining', from }, entry, to)
				return
			case 'finish':
				setActivity(state, backendServer, { type: 'serving' }, entry)
				return
			case 'abort':
				if (state.placements.get(backendServer)?.activity.type === 'draining') {
					setActivity(state, backendServer, { type: 'serving' }, entry)
				} else {
					setActivity(state, backendServer, { type: 'joining', from: to }, entry, from)
				}
		}
	}
}

function checkDrain(
	state: FleetState,
	{ backendServer, from, to }: MoveProposal,
	placement: Placement
): string | undefined {
	if (placement.pool !== from) return `${backendServer} is in pool ${placement.pool}, not ${from}`
	if (from === to) return `${backendServer} is in pool ${to} already`
	if (!state.pools.has(to)) return `unknown pool ${to}`
	if (placement.activity.type !== 'serving') {
		return `${backendServer} is already ${placement.activity.type}`
	}
	const ledger = new AvailabilityLedger(state, from)
	if (!ledger.isAvailable(backendServer)) return `${backendServer} is not healthy`
	return ledger.checkDrain(backendServer)
}

function checkReassign(
	state: FleetState,
	proposal: MoveProposal,
	placement: Placement
): string | undefined {
	if (!isDrainingForMove(proposal, placement))
		return `${proposal.backendServer} is not draining for this move`
	if (!state.pools.has(proposal.to)) return `unknown pool ${proposal.to}`
	return new AvailabilityLedger(state, proposal.from).checkBudget(proposal.from)
}

function checkFinish(
	state: FleetState,
	proposal: MoveProposal,
	placement: Placement
): string | undefined {
	if (!isJoiningForMove(proposal, placement))
		return `${proposal.backendServer} is not joining by this move`
	const health = new HealthView(state).getHealth(proposal.backendServer)
	return health === 'healthy' ? undefined : `${proposal.backendServer} is ${health}`
}

function checkAbort(
	state: FleetState,
	proposal: MoveProposal,
	placement: Placement
): string | undefined {
	if (isDrainingForMove(proposal, placement)) return undefined
	if (!isJoiningForMove(proposal, placement)) return `${proposal.backendServer} is not in this move`
	return state.pools.has(proposal.from) ? undefined : `unknown pool ${proposal.from}`
}

function isDrainingForMove({ from, to }: MoveProposal, { pool, activity }: Placement): boolean {
	if (activity.type !== 'draining' || activity.reason !== 'move') return false
	return pool === from && activity.to === to
}

function isJoiningForMove({ from, to }: MoveProposal, { pool, activity }: Placement): boolean {
	return activity.type === 'joining' && pool === to && activity.from === from
}
