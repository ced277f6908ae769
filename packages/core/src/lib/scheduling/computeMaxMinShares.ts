/**
 * Splits a capacity by weighted max-min: nobody gets more than it asks for, and what one does not
 * use goes to the others by weight.
 *
 * @param capacity - units to split
 * @param demands - units asked for and weight by name
 * @returns units by name, fractions included
 * @example
 * ```ts
 * computeMaxMin(10, new Map([['a', { demand: 2, weight: 1 }], ['b', { demand: 20, weight: 1 }]]))
 * // a: 2, b: 8
 * ```
 * @public
 */
export function computeMaxMinShares<Name>(
	capacity: number,
	demands: ReadonlyMap<Name, { readonly demand: number; readonly weight: number }>
): Map<Name, number> {
	const rows = [...demands].sort(([, a], [, b]) => a.demand / a.weight - b.demand / b.weight)
	let weight = rows.reduce((sum, [, row]) => sum + row.weight, 0)
	let left = Math.max(0, capacity)
	const parts = new Map<Name, number>()
	for (const [name, row] of rows) {
		const part = Math.min(row.demand, (left * row.weight) / weight)
		parts.set(name, part)
		left -= part
		weight -= row.weight
	}
	return parts
}
