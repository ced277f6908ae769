import { type Dispatcher, request } from 'undici'
import type { ServerReply } from './ServerReply.js'

/** Error codes of connections that were never established. */
const NOT_SENT_CODES = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'ENOTFOUND',
	'EAI_AGAIN',
	'UND_ERR_CONNECT_TIMEOUT',
])

/** Error codes of refused certificates. TLS checks them before the request is sent. */
const CERTIFICATE_ERROR_PATTERN = /^(ERR_TLS_|CERT_|SELF_SIGNED_|DEPTH_ZERO_|UNABLE_TO_)/

/**
 * Sends one request to one daemon. Never rejects.
 *
 * @param options.server - base URL
 * @param options.timeout - milliseconds in which a complete answer must arrive
 * @internal
 */
export async function sendRequest(options: {
	readonly server: string
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
	readonly path: string
	readonly token: string
	readonly body?: unknown
	readonly timeout: number
	readonly dispatcher: Dispatcher
}): Promise<ServerReply> {
	const { server, method, path, token, body, timeout, dispatcher } = options
	try {
		const answer = await request(new URL(path, server), {
			method,
			dispatcher,
			signal: AbortSignal.timeout(timeout),
			headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
			body: body === undefined ? null : JSON.stringify(body),
		})
		return { type: 'answer', status: answer.statusCode, body: await answer.body.json() }
	} catch (error) {
		return createFailure(error)
	}
}

function createFailure(error: unknown): ServerReply {
	if (!(error instanceof Error)) return { type: 'lost', reason: String(error) }
	const { code = '' } = error as NodeJS.ErrnoException
	const reason = error.message === '' ? code : error.message
	const isUnsent = NOT_SENT_CODES.has(code) || CERTIFICATE_ERROR_PATTERN.test(code)
	return { type: isUnsent ? 'not-sent' : 'lost', reason }
}
