import { assert } from '../assert.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { FleetState } from '../state/FleetState.js'
import type { Placement } from '../state/Placement.js'

/**
 * Sets the activity of a backend server, with `entry` as its start.
 *
 * @param pool - its new pool; by default it stays in its pool
 * @internal
 */
export function setActivity(
	state: FleetState,
	backendServer: BackendServerId,
	activity: Placement['activity'],
	entry: LogEntry,
	pool?: PoolId
): void {
	const placement = state.placements.get(backendServer)
	assert(placement, 'an accepted step must name a backend server of the fleet')
	state.placements.set(backendServer, {
		...placement,
		pool: pool ?? placement.pool,
		activity,
		since: { offset: entry.offset, at: entry.at },
	})
}
