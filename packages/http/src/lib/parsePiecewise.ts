import type { Socket } from 'node:net'

/** Largest piece that is parsed at a time, in bytes. */
const MAXIMUM_PIECE = 1_024
const HEADER_END = '\r\n\r\n'

/**
 * Lets the HTTP parser of a connection take what is received in pieces that begin at most one request each.
 * The parser makes objects for all requests in what it is given, and a closed connection keeps them until
 * the event loop turns; so it is not given what follows once the connection is closed. A connection whose
 * answers are not read while it sends further requests is closed.
 *
 * @param socket - a connection for which an HTTP server has just set up its parser
 * @internal
 */
export function parsePiecewise(socket: Socket): void {
	const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[]
	if (!parse) throw new Error('connection without a parser')
	const parsePieces = (data: Buffer): void => {
		for (let start = 0; start < data.length;) {
			if (socket.destroyed) return
			if (socket.isPaused()) {
				if (socket.writableNeedDrain) socket.destroy()
				// The reader of a body takes what the request has buffered first.
				else
					socket.once('resume', () => {
						parsePieces(data.subarray(start))
					})
				return
			}
			const end = getPieceEnd(data, start)
			parse.call(socket, data.subarray(start, end))
			start = end
		}
	}
	socket.removeListener('data', parse)
	socket.on('data', parsePieces)
}

function getPieceEnd(data: Buffer, start: number): number {
	const headerEnd = data.indexOf(HEADER_END, start)
	const end = headerEnd < 0 ? data.length : headerEnd + HEADER_END.length
	return Math.min(end, start + MAXIMUM_PIECE)
}
