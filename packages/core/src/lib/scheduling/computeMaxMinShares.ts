/**
 * Splits a capacity by weighted max-min fairness: no demand gets more than it asks for, and unused
 * capacity goes to the other demands by weight.
 *
 * @param capacity - units to split
 * @param demands - requested units and weight, by name
 * @returns the share of each demand in units, by name; may be fractional
 * @example
 * ```ts
 * computeMaxMinShares(10, new Map([['a', { demand: 2, weight: 1 }], ['b', { demand: 20, weight: 1 }]]))
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
	let remaining = Math.max(0, capacity)
	const shares = new Map<Name, number>()
	for (const [name, row] of rows) {
		const share = Math.min(row.demand, (remaining * row.weight) / weight)
		shares.set(name, share)
		remaining -= share
		weight -= row.weight
	}
	return shares
}
