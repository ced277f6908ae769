import type { BackendRow } from '../BackendRow.js'

/**
 * Sorts the backend servers that are due for maintenance by the cost of draining them, lowest first.
 *
 * @public
 */
export function sortByDisruptionCost(rows: readonly BackendRow[]): BackendRow[] {
	const ranked = rows.map((row) => ({ row, cost: getCost(row) }))
	return ranked.sort((a, b) => a.cost - b.cost).map(({ row }) => row)
}

/** Returns the share of cpu in use plus 1 for each lasting task, which must be moved away. */
function getCost(row: BackendRow): number {
	let lasting = 0
	for (const task of row.tasks.values()) if (task.step.lasting) lasting += 1
	const cpuShare = row.capacity.cpu > 0 ? row.used.cpu / row.capacity.cpu : 0
	return cpuShare + lasting
}
