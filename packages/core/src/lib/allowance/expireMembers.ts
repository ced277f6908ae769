import type { FleetState } from '../state/FleetState.js'
import type { Member } from '../state/Member.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { getAllowanceFloor } from './getAllowanceFloor.js'
import { getMemberLeaseState } from './getMemberLeaseState.js'

/**
 * Frees allowance that its holders can no longer use: all but the floor of members whose lease has
 * lapsed, and everything of members whose floor lease has also ended, which are removed. A member
 * that comes back does not get the freed allowance back.
 *
 * @param at - platform clock, in milliseconds
 *
 * @internal
 */
export function expireMembers(state: FleetState, at: Milliseconds): void {
	for (const member of state.members.values()) {
		const leaseState = getMemberLeaseState(state, member, at)
		if (leaseState === 'expired') state.members.delete(member.instance)
		if (leaseState === 'lapsed' && !member.lapsed)
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
