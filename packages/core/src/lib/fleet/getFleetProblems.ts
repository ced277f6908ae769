import type { Fleet } from './Fleet.js'
import type { FleetProblem } from './FleetProblem.js'
import type { Pool } from './Pool.js'
import type { Queue } from './Queue.js'

/** Adds a problem for each repeated value and returns the distinct values. */
function findDuplicates(
	path: (index: number) => string,
	values: readonly string[],
	problems: FleetProblem[]
): Set<string> {
	const seen = new Set<string>()
	for (const [index, value] of values.entries()) {
		if (seen.has(value)) problems.push({ path: path(index), message: `duplicate ${value}` })
		seen.add(value)
	}
	return seen
}

/** Returns the names of a table's rows and adds a problem for each repeated one. */
function collectNames(
	table: string,
	rows: readonly { readonly name: string }[],
	problems: FleetProblem[]
): Set<string> {
	const names = rows.map((row) => row.name)
	return findDuplicates((index) => `${table}[${index}].name`, names, problems)
}

function checkQueue(
	path: string,
	queue: Queue,
	pools: ReadonlySet<string>,
	teams: ReadonlySet<string>,
	problems: FleetProblem[]
): void {
	if (!pools.has(queue.pool)) {
		problems.push({ path: `${path}.pool`, message: `no such pool ${queue.pool}` })
	}
	for (const [index, team] of (queue.teams ?? []).entries()) {
		if (teams.has(team)) continue
		problems.push({ path: `${path}.teams[${index}]`, message: `no such team ${team}` })
	}
	if (queue.teams) findDuplicates((index) => `${path}.teams[${index}]`, queue.teams, problems)
	if (queue.openTeam !== undefined && !teams.has(queue.openTeam)) {
		problems.push({ path: `${path}.openTeam`, message: `no such team ${queue.openTeam}` })
	}
}

/** Adds a problem for each pool below its `minimumAvailable` even with every spare server moved in. */
function checkAvailabilityBudgets(fleet: Fleet, problems: FleetProblem[]): void {
	const sizes = new Map<string, number>()
	for (const { pool } of fleet.backendServers) sizes.set(pool, (sizes.get(pool) ?? 0) + 1)
	const getSize = (pool: Pool) => sizes.get(pool.name) ?? 0
	let spareServers = 0
	for (const pool of fleet.pools) if (pool.spare) spareServers += getSize(pool)
	for (const [index, pool] of fleet.pools.entries()) {
		const maximumAvailable = pool.spare ? spareServers : getSize(pool) + spareServers
		if (pool.minimumAvailable <= maximumAvailable) continue
		problems.push({
			path: `pools[${index}].minimumAvailable`,
			message: `${pool.minimumAvailable} can never hold with ${maximumAvailable} backend servers`,
		})
	}
}

/**
 * Checks what the schema cannot: names are unique, referenced rows exist, and availability budgets
 * can be met.
 *
 * @param fleet - a document that matches the schema
 * @returns all problems found; empty for a valid document
 *
 * @public
 */
export function getFleetProblems(fleet: Fleet): readonly FleetProblem[] {
	const problems: FleetProblem[] = []
	const zones = findDuplicates(
		(index) => `availabilityZones[${index}]`,
		fleet.availabilityZones,
		problems
	)
	const pools = collectNames('pools', fleet.pools, problems)
	const teams = collectNames('teams', fleet.teams, problems)
	collectNames('queues', fleet.queues, problems)
	collectNames('backendServers', fleet.backendServers, problems)
	for (const [index, queue] of fleet.queues.entries()) {
		checkQueue(`queues[${index}]`, queue, pools, teams, problems)
	}
	for (const [index, server] of fleet.backendServers.entries()) {
		const path = `backendServers[${index}]`
		if (!pools.has(server.pool)) {
			problems.push({ path: `${path}.pool`, message: `no such pool ${server.pool}` })
		}
		if (!zones.has(server.availabilityZone)) {
			const message = `no such availability zone ${server.availabilityZone}`
			problems.push({ path: `${path}.availabilityZone`, message })
		}
	}
	const addresses = fleet.backendServers.map((server) => server.address)
	findDuplicates((index) => `backendServers[${index}].address`, addresses, problems)
	checkAvailabilityBudgets(fleet, problems)
	return problems
}
