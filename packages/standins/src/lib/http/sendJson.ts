import type { ServerResponse } from 'node:http'

/**
 * Answers with a JSON body.
 *
 * @returns length of the body in bytes
 * @internal
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): number {
	const text = JSON.stringify(body)
	const length = Buffer.byteLength(text)
	response.writeHead(status, { 'content-type': 'application/json', 'content-length': length })
	response.end(text)
	return length
}
