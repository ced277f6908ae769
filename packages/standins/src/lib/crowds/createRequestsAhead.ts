/** Requests in one piece. */
const REQUESTS_AT_ONCE = 400

/**
 * Creates many equal requests that are sent ahead of their answers, in pieces.
 *
 * @param request - one request as it is sent
 * @public
 */
export function createRequestsAhead(request: string, count: number): Buffer[] {
	const piece = Buffer.from(request.repeat(REQUESTS_AT_ONCE))
	const pieces = Array.from({ length: Math.floor(count / REQUESTS_AT_ONCE) }, () => piece)
	return [...pieces, Buffer.from(request.repeat(count % REQUESTS_AT_ONCE))]
}
