import type { RequestId } from './RequestId.js'
import type { RequestIdParts } from './RequestIdParts.js'

/**
 * Creates a request id from its parts; `parseRequestId` is the inverse.
 *
 * @public
 */
export function createRequestId(parts: RequestIdParts): RequestId {
	return `${parts.sequence.toString(36)}-${parts.random}-${parts.issuer}`
}
