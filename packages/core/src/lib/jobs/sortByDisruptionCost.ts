import type { BackendRow } from './BackendRow.js'

/**
 * Orders the backend servers that are to be maintained: those first whose end costs least.
 *
 * @public
 */
export function sortByDisruptionCost(rows: readonly BackendRow[]): BackendRow[] {
	const ranked = rows.map((row) => ({ row, cost: getCost(row) }))
	return ranked.sort((a, b) => a.cost - b.cost).map(({ row }) => row)
}

/** Share of the server that is in use; lasting tasks do not end by waiting and count more. */
function getCost(row: BackendRow): number {
	let lasting = 0
	for (const task of row.tasks.values()) if (task.step.lasting) lasting += 1
	const use = row.capacity.cpu > 0 ? row.used.cpu / row.capacity.cpu : 0
	return use + lasting
}
