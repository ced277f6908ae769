import type { ServerResponse } from 'node:http'

const MILLISECONDS_PER_SECOND = 1000

/**
 * An error as it is sent: a refusal, or the end of a request that failed.
 *
 * @internal
 */
interface ErrorResponse {
	readonly status: number
	readonly error: string
	readonly message: string
	readonly verdict: string
	readonly retryAfter?: number | undefined
}

/**
 * Answers a caller with a JSON error, its verdict and, where it helps, when to come back.
 *
 * @param requestId - empty when the request got none
 * @internal
 */
export function sendErrorResponse(
	response: ServerResponse,
	answer: ErrorResponse,
	requestId: string
): void {
	if (response.headersSent || response.destroyed) {
		response.destroy()
		return
	}
	const { error, message, verdict } = answer
	const text = JSON.stringify({ error: { type: error, message }, verdict })
	response.setHeader('content-type', 'application/json')
	response.setHeader('content-length', Buffer.byteLength(text))
	response.setHeader('mastichead-verdict', verdict)
	if (requestId !== '') response.setHeader('mastichead-request-id', requestId)
	if (answer.retryAfter !== undefined) {
		response.setHeader('retry-after', Math.ceil(answer.retryAfter / MILLISECONDS_PER_SECOND))
	}
	response.writeHead(answer.status)
	response.end(text)
}
