import type { FleetState } from '../state/FleetState.js'
import type { Member } from '../state/Member.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { getAllowanceFloor } from './getAllowanceFloor.js'
import { getMemberLeaseState } from './getMemberLeaseState.js'

/**
 * Frees what no member can use any more: all but the floor of a lapsed member, and the whole row
 * of one that is gone. What was freed stays freed when the member comes back.
 *
 * @param at - platform clock to judge by
 *
 * @internal
 */
export function expireMembers(state: FleetState, at: Milliseconds): void {
	for (const member of state.members.values()) {
		const phase = getMemberLeaseState(state, member, at)
		if (phase === 'gone') state.members.delete(member.instance)
		if (phase === 'lapsed' && !member.lapsed)
			state.members.set(member.instance, createLapsedMember(member))
	}
}

function createLapsedMember(member: Member): Member {
	const allowances = new Map<string, number>()
	for (const [team, amount] of member.allowances) {
		const floor = getAllowanceFloor(amount)
		if (floor > 0) allowances.set(team, floor)
	}
	return { ...member, lapsed: true, lapsedFrom: member.renewedAt, allowances }
}
