/**
 * Formats the indices of tasks as ranges, such as `0-3,7`.
 *
 * @param places - in ascending order
 * @public
 */
export function formatPlaces(places: readonly number[]): string {
	const ranges: { first: number; last: number }[] = []
	for (const place of places) {
		const range = ranges.at(-1)
		if (range?.last === place - 1) range.last = place
		else ranges.push({ first: place, last: place })
	}
	return ranges.map(({ first, last }) => (first === last ? `${first}` : `${first}-${last}`)).join()
}
