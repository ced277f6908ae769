/** Maximum number of tasks in one range; a larger one is damaged. */
const MAXIMUM_RANGE = 1_000_000

/**
 * Parses ranges that `formatPlaces` created. Throws if the text has another form.
 *
 * @public
 */
export function parsePlaces(text: string): number[] {
	return text.split(',').flatMap((range) => parseRange(range))
}

function parseRange(range: string): number[] {
	const match = /^(\d+)(?:-(\d+))?$/.exec(range)
	if (!match) throw new Error(`${JSON.stringify(range)} is not a range of tasks`)
	const first = Number(match[1])
	const last = Number(match[2] ?? match[1])
	if (last < first || last - first >= MAXIMUM_RANGE)
		throw new Error(`${range} is not a range of tasks`)
	return Array.from({ length: last - first + 1 }, (_, index) => first + index)
}
