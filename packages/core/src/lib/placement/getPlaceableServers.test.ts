import { expect, test } from 'vitest'
import type { BackendServer } from '../fleet/BackendServer.js'
import { createFleetState } from '../state/createFleetState.js'
import type { Placement } from '../state/Placement.js'
import { getPlaceableServers } from './getPlaceableServers.js'
import type { ServerListing } from './ServerListing.js'

function createState(placements: Record<string, Partial<Placement>>) {
	const state = createFleetState()
	for (const [name, overrides] of Object.entries(placements)) {
		const server: BackendServer = {
			name,
			availabilityZone: 'zone-1',
			rack: 'rack-1',
			address: '127.0.0.1:1',
			pool: 'quotes',
			slots: 8,
			connections: 64,
		}
		state.backendServers.set(name, server)
		const placement: Placement = {
			pool: 'quotes',
			health: 'healthy',
			activity: { type: 'serving' },
			...overrides,
		}
		state.placements.set(name, placement)
	}
	return state
}

test('returns serving, healthy servers of the pool that are not leaving or removed', () => {
	const state = createState({
		serving: {},
		unlisted: {},
		other: { pool: 'labels' },
		failed: { health: 'failed' },
		drained: { activity: { type: 'draining', reason: 'operator' } },
		moving: { activity: { type: 'draining', reason: 'move', to: 'labels' } },
		waved: { activity: { type: 'draining', reason: 'wave', wave: 'wave-1' } },
		maintained: { activity: { type: 'maintenance', wave: 'wave-1' } },
		joining: { activity: { type: 'joining', from: 'labels' } },
		leaving: {},
		removed: {},
	})
	const listings = new Map<string, ServerListing>([
		['serving', 'live'],
		['leaving', 'leaving'],
		['removed', 'removed'],
	])
	const placeable = getPlaceableServers(state, 'quotes', listings).map((server) => server.name)
	expect(placeable).toEqual(['serving', 'unlisted'])
})
