import { assert } from '../assert.js'
import type { BackendServer } from './BackendServer.js'
import type { Fleet } from './Fleet.js'

const DEFAULT_SIZE = { zones: 3, pools: 2, teams: 3, backendServers: 6, queues: 2 }
const RACK_SIZE = 4
const ADDRESSES_PER_SUBNET = 250

function createRows<Row>(count: number, create: (index: number) => Row): Row[] {
	return Array.from({ length: count }, (_, index) => create(index))
}

function pickCyclic(names: readonly string[], index: number): string {
	const name = names[index % names.length]
	assert(name !== undefined, 'the list is not empty')
	return name
}

/**
 * Creates a valid, deterministic fleet document of the given size, for tests and the bench.
 *
 * @param size - number of rows in each table; at least one zone, pool and team
 *
 * @public
 */
export function createSampleFleet(size: Partial<typeof DEFAULT_SIZE> = {}): Fleet {
	const counts = { ...DEFAULT_SIZE, ...size }
	const zones = createRows(counts.zones, (index) => `zone-${index}`)
	const pools = createRows(counts.pools, (index) => `pool-${index}`)
	const teams = createRows(counts.teams, (index) => `team-${index}`)
	return {
		name: 'sample',
		availabilityZones: zones,
		pools: pools.map((name) => ({
			name,
			spare: false,
			minimumAvailable: 0,
			maximumUnavailable: 1,
		})),
		teams: teams.map((name) => ({ name, share: 1, limit: 100 })),
		queues: createRows(counts.queues, (index) => ({
			name: `queue-${index}`,
			pool: pickCyclic(pools, index),
			urgency: 'ordinary' as const,
			timeoutMilliseconds: 30_000,
			runMilliseconds: 60_000,
			maximumQueued: 1000,
		})),
		backendServers: createRows(counts.backendServers, (index): BackendServer => ({
			name: `server-${index}`,
			availabilityZone: pickCyclic(zones, index),
			rack: `rack-${Math.floor(index / RACK_SIZE)}`,
			address: `10.0.${Math.floor(index / ADDRESSES_PER_SUBNET)}.${index % ADDRESSES_PER_SUBNET}:8080`,
			pool: pickCyclic(pools, index),
			slots: 8,
			connections: 64,
		})),
	}
}
