import type { FleetState } from '../state/FleetState.js'
import type { Fleet } from './Fleet.js'

/**
 * The fleet document in force. Backend servers show their home pool, not the one that a move
 * took them to.
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
