import { createFleetState, hashKeySecret, type FleetState } from '@mastichead/core'

interface Options {
	/** Addresses of the backend servers, `host:port`. */
	readonly addresses: readonly string[]
	/** Maximum run time (default 2 s). */
	readonly runMilliseconds?: number
	/** Maximum wait in the queue (default 2 s). */
	readonly timeoutMilliseconds?: number
	/** Maximum number of queued requests (default 1,000). */
	readonly maximumQueued?: number
}

/**
 * Creates a fleet with one pool `quotes` and the queues `quotes` (team `desk`), `other` (team
 * `other`) and `open` (no key required, runs as team `desk`). Team `desk` has the active key `00..1`
 * and the withdrawn key `00..2`; the secret of both is 43 times `s`.
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
