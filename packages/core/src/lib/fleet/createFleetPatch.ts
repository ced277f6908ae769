import { isDeepStrictEqual } from 'node:util'
import type { Fleet } from './Fleet.js'
import type { FleetPatch } from './FleetPatch.js'
import type { TablePatch } from './TablePatch.js'

function createTablePatch<Row extends { readonly name: string }>(
	from: readonly Row[],
	to: readonly Row[]
): TablePatch<Row> {
	const before = new Map(from.map((row) => [row.name, row]))
	const put: Row[] = []
	for (const row of to) {
		if (!isDeepStrictEqual(before.get(row.name), row)) put.push(row)
		before.delete(row.name)
	}
	return { put, remove: [...before.keys()] }
}

/**
 * Creates the patch that turns fleet document `from` into `to`.
 *
 * @public
 */
export function createFleetPatch(from: Fleet, to: Fleet): FleetPatch {
	return {
		name: to.name,
		availabilityZones: to.availabilityZones,
		pools: createTablePatch(from.pools, to.pools),
		queues: createTablePatch(from.queues, to.queues),
		teams: createTablePatch(from.teams, to.teams),
		backendServers: createTablePatch(from.backendServers, to.backendServers),
	}
}
