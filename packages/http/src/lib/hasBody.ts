import type { IncomingMessage } from 'node:http'

/**
 * Whether a request announces a body.
 *
 * @public
 */
export function hasBody({ headers }: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
