/** Largest piece that is parsed at a time. */
const MAXIMUM_BYTES = 1_024
const MAXIMUM_LINES = 200
/** Cost of a piece and of the request that a header begins, as that of so many lines. */
const PIECE_COST = 2
const REQUEST_COST = 16
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** The start of what a connection has received. */
interface Piece {
	readonly bytes: number
	/** What it costs to parse it, as that of so many lines. */
	readonly cost: number
}

/**
 * Determines the piece at the start of what a connection has received that is parsed at a time: to the end of a
 * header, and not beyond a few lines or a kilobyte. What a piece costs depends on its lines, since each chunk of
 * a body has two and each field of a header one.
 *
 * @internal
 */
export function getPiece(data: Buffer): Piece {
	const window = data.subarray(0, MAXIMUM_BYTES)
	let start = 0
	for (let lines = 0; lines < MAXIMUM_LINES; lines += 1) {
		const end = window.indexOf(LINE_FEED, start)
		if (end < 0) return { bytes: window.length, cost: PIECE_COST + lines }
		const isEmpty = end === start || (end === start + 1 && window[start] === CARRIAGE_RETURN)
		start = end + 1
		if (isEmpty) return { bytes: start, cost: PIECE_COST + REQUEST_COST + lines }
	}
	return { bytes: start, cost: PIECE_COST + MAXIMUM_LINES }
}
