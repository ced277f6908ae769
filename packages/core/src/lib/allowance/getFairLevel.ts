/**
 * Returns the max-min fair level: the largest number such that the demands, each capped at it, fit
 * the limit.
 *
 * @param limit - number of units to divide
 * @param demands - number of units that each member needs
 * @returns the level in units, or Infinity if every demand fits
 *
 * @public
 */
export function getFairLevel(limit: number, demands: readonly number[]): number {
	const sorted = demands.filter((demand) => demand > 0).sort((a, b) => a - b)
	let remaining = limit
	for (const [index, demand] of sorted.entries()) {
		const level = remaining / (sorted.length - index)
		if (demand > level) return level
		remaining -= demand
	}
	return Infinity
}
