import { allowanceTerms } from '../allowance/allowanceTerms.js'
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Health } from './Health.js'

/** Observers that a verdict on a backend server needs to come from its own availability zone. */
const MINIMUM_ZONE_OBSERVERS = 2

/**
 * Judges the health of backend servers by the reports in a state, at the platform clock of that
 * state. Only members whose lease has not lapsed are heard. The observers of a backend server are
 * the members of its own availability zone, or all members where the zone has fewer than two, so
 * that a zone cut off from the others does not have its backend servers judged by them.
 *
 * A view is good for the state as it was when the view was made.
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

	/** Members whose reports on a backend server count. */
	getObservers(backendServer: BackendServerId): ReadonlySet<InstanceId> {
		const row = this.state.backendServers.get(backendServer)
		const zone = row && this.liveMembersByZone.get(row.availabilityZone)
		if (!zone || zone.size < MINIMUM_ZONE_OBSERVERS) return this.liveMembers
		return zone
	}

	/** Health of a backend server; `unknown` for one that the fleet does not have. */
	getHealth(backendServer: BackendServerId): Health {
		const placement = this.state.placements.get(backendServer)
		if (!placement || this.liveMembers.size === 0) return 'unknown'
		if (!placement.reports) return 'healthy'
		const observers = this.getObservers(backendServer)
		const votes = placement.reports.filter((instance) => observers.has(instance)).length
		if (votes * 2 < observers.size || votes === 0) return 'healthy'
		if (votes * 2 === observers.size || votes < MINIMUM_ZONE_OBSERVERS) return 'unknown'
		return 'failed'
	}
}
