import type { BackendServer } from '../fleet/BackendServer.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { ServerListing } from './ServerListing.js'

/**
 * Backend servers of `pool` that may get new work: in the pool, serving, healthy, and neither
 * leaving nor removed from the instance list.
 *
 * The list lags, so a server that it does not name yet is not held back for that.
 *
 * @param listings - what the instance list says; a missing row counts as `unlisted`
 *
 * @public
 */
export function getPlaceableServers(
	state: FleetState,
	pool: PoolId,
	listings: ReadonlyMap<BackendServerId, ServerListing>
): readonly BackendServer[] {
	const servers: BackendServer[] = []
	for (const [name, placement] of state.placements) {
		const server = state.backendServers.get(name)
		if (!server || placement.pool !== pool) continue
		if (placement.activity.type !== 'serving' || placement.health !== 'healthy') continue
		const listing = listings.get(name) ?? 'unlisted'
		if (listing === 'leaving' || listing === 'removed') continue
		servers.push(server)
	}
	return servers
}
