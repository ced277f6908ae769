import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { FleetState } from '../state/FleetState.js'
import { getEvenShare } from './getEvenShare.js'

interface Share {
	readonly limit: number
	readonly amount: number
}

/**
 * Even shares of one member, worked out anew only when limits or members change.
 *
 * @internal
 */
export class EvenShares {
	private members: readonly InstanceId[] = []
	private readonly shares = new Map<TeamId, Share>()

	/** Units that the member holds in an even split among the members. */
	get(team: TeamId, limit: number, instance: InstanceId): number {
		const known = this.shares.get(team)
		if (known?.limit === limit) return known.amount
		const amount = getEvenShare(limit, team, instance, this.members)
		this.shares.set(team, { limit, amount })
		return amount
	}

	/** Takes the members whose lease holds. To be called before shares are asked for. */
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
