import { getAllowanceTotal } from '../allowance/getAllowanceTotal.js'
import { getTeamLimit } from '../allowance/getTeamLimit.js'
import type { TeamId } from '../ids/TeamId.js'
import type { AllowanceChange } from '../log/AllowanceChange.js'
import type { AllowanceProposal } from '../log/AllowanceProposal.js'
import type { FleetState } from '../state/FleetState.js'
import type { Member } from '../state/Member.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Applies allowance changes. Increases are granted only as far as the sum over all members stays
 * within the limit of the team; decreases are always applied.
 *
 * @internal
 */
export class AllowanceHandler extends ProposalHandler<'allowance'> {
	override readonly kind = 'allowance'

	override check(state: FleetState, proposal: AllowanceProposal): string | undefined {
		const member = state.members.get(proposal.instance)
		if (!member) return 'unknown member'
		if (proposal.sequence <= member.sequence) return 'sequence is not above the last one'
		const isValid = proposal.changes.every(({ delta }) => Number.isSafeInteger(delta))
		return isValid ? undefined : 'delta is not a whole number'
	}

	override apply(state: FleetState, proposal: AllowanceProposal): void {
		const member = state.members.get(proposal.instance)
		if (!member) return
		const allowances = new Map(member.allowances)
		const { sequence } = proposal
		state.members.set(member.instance, { ...member, sequence, allowances })
		for (const change of proposal.changes) applyChange(state, member, allowances, change)
	}
}

function applyChange(
	state: FleetState,
	member: Member,
	allowances: Map<TeamId, number>,
	{ team, delta }: AllowanceChange
): void {
	const held = allowances.get(team) ?? 0
	const amount = delta > 0 ? held + getGrantedUnits(state, member, team, delta) : held + delta
	if (amount > 0) allowances.set(team, amount)
	else allowances.delete(team)
}

function getGrantedUnits(
	state: FleetState,
	member: Member,
	team: TeamId,
	requested: number
): number {
	if (member.lapsed) return 0
	const available = getTeamLimit(state, team) - getAllowanceTotal(state, team)
	return Math.max(0, Math.min(requested, available))
}
