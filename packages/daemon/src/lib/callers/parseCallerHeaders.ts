import type { IncomingHttpHeaders } from 'node:http'
import type { CallerHeaders } from './CallerHeaders.js'

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._~-]{1,200}$/
const PATH_PATTERN = /^\/[\x21-\x7e]*$/

/**
 * Parses the headers of a caller's request.
 *
 * @returns the parsed headers, or the name of the first malformed header
 * @internal
 */
export function parseCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders | string {
	const requestId = getText(headers, 'mastichead-request-id', '')
	if (requestId !== '' && !REQUEST_ID_PATTERN.test(requestId)) return 'Mastichead-Request-Id'
	const idempotent = getText(headers, 'mastichead-idempotent', 'false')
	if (idempotent !== 'true' && idempotent !== 'false') return 'Mastichead-Idempotent'
	const timeout = getText(headers, 'mastichead-timeout-milliseconds', '')
	if (!/^\d{0,9}$/.test(timeout)) return 'Mastichead-Timeout-Milliseconds'
	const path = getText(headers, 'mastichead-path', '/')
	if (!PATH_PATTERN.test(path)) return 'Mastichead-Path'
	return {
		requestId,
		idempotent: idempotent === 'true',
		startTimeout: timeout === '' ? undefined : Number(timeout),
		path,
	}
}

function getText(headers: IncomingHttpHeaders, name: string, fallback: string): string {
	const value = headers[name]
	return typeof value === 'string' ? value : fallback
}
