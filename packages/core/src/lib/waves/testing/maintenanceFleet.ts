import type { BackendServer } from '../../fleet/BackendServer.js'
import type { FleetPatch } from '../../fleet/FleetPatch.js'
import type { Pool } from '../../fleet/Pool.js'
import type { Proposal } from '../../log/Proposal.js'

const ZONES = ['a', 'b', 'c']
const POOLS = ['quotes', 'permits', 'spare']
const SERVERS_PER_POOL = 6
const MEMBERS = 6

/** The fleet of the maintenance simulation: three pools over three availability zones, six daemons. */
export const maintenanceFleet = {
	zones: ZONES,
	pools: POOLS,
	memberCount: MEMBERS,
	/** Time between two events, in milliseconds. */
	tick: 1_000,
	createServers,
	createPool,
	createPatch,
	createFirstProposals,
} as const

function createServers(): readonly BackendServer[] {
	return POOLS.flatMap((pool, poolIndex) =>
		Array.from({ length: SERVERS_PER_POOL }, (_, serverIndex) => {
			const availabilityZone = ZONES[serverIndex % 3] ?? ''
			const rack = `${availabilityZone}${poolIndex}`
			const address = `127.0.0.1:${2000 + poolIndex * 100 + serverIndex}`
			const name = `${pool}-${serverIndex}`
			return { name, availabilityZone, rack, address, pool, slots: 8, connections: 64 }
		})
	)
}

function createPool(name: string, maximumUnavailable: number): Pool {
	return { name, spare: name === 'spare', minimumAvailable: 3, maximumUnavailable }
}

function createPatch(patch: Partial<FleetPatch>): FleetPatch {
	const none = { put: [], remove: [] }
	const zones = { name: 'test', availabilityZones: ZONES }
	return { ...zones, pools: none, queues: none, teams: none, backendServers: none, ...patch }
}

function createFirstProposals(): readonly Proposal[] {
	const pools = { put: POOLS.map((name) => createPool(name, 2)), remove: [] }
	const backendServers = { put: createServers(), remove: [] }
	const patch = createPatch({ pools, backendServers })
	const joins = Array.from({ length: MEMBERS }, (_, member): Proposal => {
		const instance = `member-${member}`
		const availabilityZone = ZONES[member % 3] ?? ''
		return {
			kind: 'join',
			id: `join-${member}`,
			instance,
			availabilityZone,
			peerAddress: '127.0.0.1:1',
		}
	})
	return [{ kind: 'apply', id: 'first', base: 0, patch, operator: 'o' }, ...joins]
}
