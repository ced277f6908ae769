import { createFleetState, hashKeySecret, type FleetState } from '@mastichead/core'

interface Options {
	/** Addresses of the backend servers, `host:port`. */
	readonly addresses: readonly string[]
	/** Longest run (default 2 s). */
	readonly runMilliseconds?: number
	/** Longest wait (default 2 s). */
	readonly timeoutMilliseconds?: number
	/** Requests that may wait (default 1,000). */
	readonly maximumQueued?: number
}

/**
 * Makes a fleet of one pool `quotes` with the queues `quotes` (for team `desk`), `other` (for team
 * `other`) and `open` (for everyone, on behalf of `desk`), and the keys `00..1` of team `desk` and
 * `00..2`, withdrawn, both with a secret of 43 times `s`.
 *
 * @internal
 */
export function createTestFleetState(options: Options): FleetState {
	const state = createFleetState()
	const queue = {
		pool: 'quotes',
		urgency: 'ordinary',
		timeoutMilliseconds: options.timeoutMilliseconds ?? 2000,
		runMilliseconds: options.runMilliseconds ?? 2000,
		maximumQueued: options.maximumQueued ?? 1000,
	} as const
	state.queues.set('quotes', { ...queue, name: 'quotes', teams: ['desk'] })
	state.queues.set('other', { ...queue, name: 'other', teams: ['other'] })
	state.queues.set('open', { ...queue, name: 'open', openTeam: 'desk' })
	for (const name of ['desk', 'other']) state.teams.set(name, { name, share: 1, limit: 100 })
	const hash = hashKeySecret('s'.repeat(43))
	const keys = { '0000000000000001': 'active', '0000000000000002': 'withdrawn' } as const
	for (const [id, status] of Object.entries(keys)) {
		state.keys.set(id, { id, team: 'desk', hash, state: status })
	}
	for (const [index, address] of options.addresses.entries()) {
		const name = `server-${index}`
		state.backendServers.set(name, {
			name,
			address,
			availabilityZone: 'zone-1',
			rack: 'rack-1',
			pool: 'quotes',
			slots: 8,
			connections: 64,
		})
		state.placements.set(name, {
			pool: 'quotes',
			health: 'healthy',
			activity: { type: 'serving' },
		})
	}
	return state
}
