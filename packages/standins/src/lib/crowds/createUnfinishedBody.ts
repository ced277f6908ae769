import { createChunk } from './createChunk.js'

/** Size about which chunks are joined for sending, in bytes. */
const PIECE_BYTES = 60_000

/**
 * Creates the chunks of a body without its end, joined into pieces.
 *
 * @param chunkBytes - content of one chunk, in bytes
 * @public
 */
export function createUnfinishedBody(chunkBytes: number, chunks: number): Buffer[] {
	const chunk = createChunk(Buffer.alloc(chunkBytes, ' '))
	const perPiece = Math.max(1, Math.floor(PIECE_BYTES / chunk.length))
	const whole = Buffer.concat(Array.from({ length: Math.min(perPiece, chunks) }, () => chunk))
	const pieces: Buffer[] = []
	for (let sent = 0; sent < chunks; sent += perPiece)
		pieces.push(whole.subarray(0, Math.min(perPiece, chunks - sent) * chunk.length))
	return pieces
}
