import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { FleetState } from '../state/FleetState.js'
import { getEvenShare } from './getEvenShare.js'

interface Share {
	readonly limit: number
	readonly amount: number
}

/**
 * Caches the even shares of one member until the limit of the team or the members change.
 *
 * @internal
 */
export class EvenShares {
	private members: readonly InstanceId[] = []
	private readonly shares = new Map<TeamId, Share>()

	/** Returns the units that the member holds when the limit is split evenly. */
	get(team: TeamId, limit: number, instance: InstanceId): number {
		const cached = this.shares.get(team)
		if (cached?.limit === limit) return cached.amount
		const amount = getEvenShare(limit, team, instance, this.members)
		this.shares.set(team, { limit, amount })
		return amount
	}

	/** Updates the members whose lease has not lapsed. Must be called before `get`. */
	update(state: FleetState): void {
		const members: InstanceId[] = []
		for (const member of state.members.values()) {
			if (!member.lapsed) members.push(member.instance)
		}
		const isSame =
			members.length === this.members.length &&
			members.every((member, index) => member === this.members[index])
		if (isSame) return
		this.members = members
		this.shares.clear()
	}
}
