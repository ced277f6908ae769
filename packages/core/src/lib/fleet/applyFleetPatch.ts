import type { Fleet } from './Fleet.js'
import type { FleetPatch } from './FleetPatch.js'
import type { TablePatch } from './TablePatch.js'

function applyTablePatch<Row extends { readonly name: string }>(
	rows: readonly Row[],
	patch: TablePatch<Row>
): readonly Row[] {
	if (patch.put.length === 0 && patch.remove.length === 0) return rows
	const table = new Map<string, Row>(rows.map((row) => [row.name, row]))
	for (const name of patch.remove) table.delete(name)
	for (const row of patch.put) table.set(row.name, row)
	return [...table.values()]
}

/**
 * Returns `fleet` with a patch applied. Replaced rows keep their position, new rows go to the end.
 *
 * @public
 */
export function applyFleetPatch(fleet: Fleet, patch: FleetPatch): Fleet {
	return {
		name: patch.name,
		availabilityZones: patch.availabilityZones,
		pools: applyTablePatch(fleet.pools, patch.pools),
		queues: applyTablePatch(fleet.queues, patch.queues),
		teams: applyTablePatch(fleet.teams, patch.teams),
		backendServers: applyTablePatch(fleet.backendServers, patch.backendServers),
	}
}
