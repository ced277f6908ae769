import type { ServerResponse } from 'node:http'

const MILLISECONDS_PER_SECOND = 1000

/**
 * A refusal, or the final error of an accepted request.
 *
 * @internal
 */
interface ErrorResponse {
	readonly status: number
	readonly error: string
	readonly message: string
	readonly verdict: string
	/** Suggested delay before a retry, in milliseconds. */
	readonly retryAfter?: number | undefined
}

/**
 * Sends a JSON error with its verdict and, if `retryAfter` is set, a `Retry-After` header. Destroys
 * the response if its head was already sent.
 *
 * @param requestId - empty if the request has no id
 * @internal
 */
export function sendErrorResponse(
	response: ServerResponse,
	failure: ErrorResponse,
	requestId: string
): void {
	if (response.headersSent || response.destroyed) {
		response.destroy()
		return
	}
	const { error, message, verdict } = failure
	const text = JSON.stringify({ error: { type: error, message }, verdict })
	response.setHeader('content-type', 'application/json')
	response.setHeader('content-length', Buffer.byteLength(text))
	response.setHeader('mastichead-verdict', verdict)
	if (requestId !== '') response.setHeader('mastichead-request-id', requestId)
	if (failure.retryAfter !== undefined) {
		response.setHeader('retry-after', Math.ceil(failure.retryAfter / MILLISECONDS_PER_SECOND))
	}
	response.writeHead(failure.status)
	response.end(text)
}
