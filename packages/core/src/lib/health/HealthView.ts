import { allowanceTerms } from '../allowance/allowanceTerms.js'
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Health } from './Health.js'

/**
 * Minimum number of live members in an availability zone for them to be the observers of its backend
 * servers, and of reports for a backend server to count as failed.
 */
const MINIMUM_OBSERVERS = 2

/**
 * Derives the health of backend servers from the failure reports in a state. Only members whose
 * lease is valid at the platform time of the state count. The observers of a backend server are the
 * members of its own availability zone, or all members if the zone has fewer than two: members of
 * other zones would report the servers of a partitioned zone as failed.
 *
 * A view covers the state at the time of its construction; create a new one after a change.
 *
 * @public
 */
export class HealthView {
	private readonly liveMembers = new Set<InstanceId>()
	private readonly liveMembersByZone = new Map<AvailabilityZoneId, Set<InstanceId>>()

	constructor(private readonly state: FleetState) {
		for (const member of state.members.values()) {
			if (state.at - member.renewedAt > allowanceTerms.lease) continue
			this.liveMembers.add(member.instance)
			const zone = this.liveMembersByZone.get(member.availabilityZone) ?? new Set()
			zone.add(member.instance)
			this.liveMembersByZone.set(member.availabilityZone, zone)
		}
	}

	/** Returns the members whose reports on a backend server count. */
	getObservers(backendServer: BackendServerId): ReadonlySet<InstanceId> {
		const row = this.state.backendServers.get(backendServer)
		const zone = row && this.liveMembersByZone.get(row.availabilityZone)
		if (!zone || zone.size < MINIMUM_OBSERVERS) return this.liveMembers
		return zone
	}

	/** Returns the health of a backend server; `unknown` if it is not in the fleet. */
	getHealth(backendServer: BackendServerId): Health {
		const placement = this.state.placements.get(backendServer)
		if (!placement || this.liveMembers.size === 0) return 'unknown'
		if (!placement.reports) return 'healthy'
		const observers = this.getObservers(backendServer)
		const votes = placement.reports.filter((instance) => observers.has(instance)).length
		if (votes * 2 < observers.size || votes === 0) return 'healthy'
		if (votes * 2 === observers.size || votes < MINIMUM_OBSERVERS) return 'unknown'
		return 'failed'
	}
}
