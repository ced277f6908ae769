/**
 * Creates one chunk of a body in the chunked transfer coding (RFC 9112, section 7.1).
 *
 * @public
 */
export function createChunk(content: Buffer): Buffer {
	const head = Buffer.from(`${content.length.toString(16)}\r\n`)
	return Buffer.concat([head, content, Buffer.from('\r\n')])
}
