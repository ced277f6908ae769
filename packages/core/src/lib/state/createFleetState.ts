import type { FleetState } from './FleetState.js'

/**
 * Creates the state before the first log entry.
 *
 * @public
 */
export function createFleetState(): FleetState {
	return {
		offset: -1,
		at: 0,
		version: 0,
		name: '',
		availabilityZones: [],
		pools: new Map(),
		queues: new Map(),
		teams: new Map(),
		backendServers: new Map(),
		placements: new Map(),
		keys: new Map(),
		members: new Map(),
		runBounds: [],
		waves: new Map(),
		decisions: new Map(),
	}
}
