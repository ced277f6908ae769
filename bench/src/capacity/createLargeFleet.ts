import type { Fleet, Urgency } from '@mastichead/core'

const POOLS_PER_SERVER = 211 / 6000
const TEAMS_PER_SERVER = 350 / 6000
const ZONE_COUNT = 9
const SERVERS_PER_RACK = 4
const SLOTS_PER_SERVER = 8
const CONNECTIONS_PER_SERVER = 64
const TEAM_LIMIT = 100
const ADDRESSES_PER_SUBNET = 200

/**
 * Creates a fleet in the proportions of the target size: 211 pools and 350 teams for 6,000 backend
 * servers. Every backend server has its own loopback address.
 *
 * @param servers - number of backend servers
 * @param port - port that all backend servers share
 * @internal
 */
export function createLargeFleet(servers: number, port: number): Fleet {
	const availabilityZones = createNames('zone', ZONE_COUNT)
	const pools = createNames('pool', Math.max(2, Math.round(servers * POOLS_PER_SERVER)))
	const teams = createNames('team', Math.max(2, Math.round(servers * TEAMS_PER_SERVER)))
	const urgencies: readonly Urgency[] = ['urgent', 'ordinary']
	return {
		name: `fleet-${servers}`,
		availabilityZones,
		pools: pools.map((name) => ({
			name,
			spare: false,
			minimumAvailable: 1,
			maximumUnavailable: 4,
		})),
		teams: teams.map((name, index) => ({ name, share: 1 + (index % 8), limit: TEAM_LIMIT })),
		queues: pools.map((pool, index) => ({
			name: `queue-${index}`,
			pool,
			urgency: urgencies[index % 2] ?? 'urgent',
			timeoutMilliseconds: 30_000,
			runMilliseconds: 20_000,
			maximumQueued: 256,
		})),
		backendServers: Array.from({ length: servers }, (_, index) => ({
			name: `server-${index}`,
			availabilityZone: availabilityZones[index % ZONE_COUNT] ?? '',
			rack: `rack-${index % ZONE_COUNT}-${Math.floor(index / ZONE_COUNT / SERVERS_PER_RACK)}`,
			address: `127.1.${Math.floor(index / ADDRESSES_PER_SUBNET)}.${(index % ADDRESSES_PER_SUBNET) + 1}:${port}`,
			pool: pools[Math.floor(index / ZONE_COUNT) % pools.length] ?? '',
			slots: SLOTS_PER_SERVER,
			connections: CONNECTIONS_PER_SERVER,
		})),
	}
}

function createNames(prefix: string, count: number): string[] {
	return Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
}
