import type { IntakeStream } from '../ports/IntakeStream.js'

/**
 * Orders the intake streams by the preference of one instance. While the log is fast, all instances
 * prefer the first stream, since others can be read seldom then. A slow log appends to each stream
 * only a few times a second, so that the instances spread over all of them.
 *
 * @param offset - number of the instance, by which it spreads; a whole number
 * @internal
 */
export function orderStreams(
	streams: readonly IntakeStream[],
	offset: number,
	isSlow: boolean
): IntakeStream[] {
	if (isSlow) return rotate(streams, offset)
	const [first, ...others] = streams
	// The others are for appends that the first one has not answered; they spread from the start.
	return first === undefined ? [] : [first, ...rotate(others, offset)]
}

function rotate(streams: readonly IntakeStream[], offset: number): IntakeStream[] {
	if (streams.length === 0) return []
	const start = offset % streams.length
	return [...streams.slice(start), ...streams.slice(0, start)]
}
