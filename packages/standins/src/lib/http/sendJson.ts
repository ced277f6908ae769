import type { ServerResponse } from 'node:http'

/**
 * Answers with a JSON body.
 *
 * @internal
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body)
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	})
	response.end(text)
}
