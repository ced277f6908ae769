/**
 * Max-min fair level: the largest number such that giving each demand up to it fits the limit.
 *
 * @param limit - units to divide
 * @param demands - units wanted by each
 * @returns Infinity when every demand fits
 *
 * @public
 */
export function getFairLevel(limit: number, demands: readonly number[]): number {
	const sorted = demands.filter((demand) => demand > 0).sort((a, b) => a - b)
	let left = limit
	for (const [index, demand] of sorted.entries()) {
		const level = left / (sorted.length - index)
		if (demand > level) return level
		left -= demand
	}
	return Infinity
}
