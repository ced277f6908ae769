import type { FleetState } from '../state/FleetState.js'
import type { Fleet } from './Fleet.js'

/**
 * Returns the fleet document in force. Its backend servers have their home pool, not the pool that
 * a move put them in.
 *
 * @public
 */
export function getFleet(state: FleetState): Fleet {
	return {
		name: state.name,
		availabilityZones: state.availabilityZones,
		pools: [...state.pools.values()],
		queues: [...state.queues.values()],
		teams: [...state.teams.values()],
		backendServers: [...state.backendServers.values()],
	}
}
