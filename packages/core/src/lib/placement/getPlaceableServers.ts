import type { BackendServer } from '../fleet/BackendServer.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { ServerListing } from './ServerListing.js'

/**
 * Returns the backend servers of `pool` that may get new work: serving, healthy, and neither leaving
 * nor removed from the instance list.
 *
 * The instance list lags, so servers that it does not contain yet may get work too.
 *
 * @param listings - states in the instance list; a missing server counts as `unlisted`
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
