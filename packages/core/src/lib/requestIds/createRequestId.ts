import type { RequestId } from './RequestId.js'
import type { RequestIdParts } from './RequestIdParts.js'

/**
 * Writes a request id.
 *
 * @public
 */
export function createRequestId(parts: RequestIdParts): RequestId {
	return `${parts.sequence.toString(36)}-${parts.random}-${parts.issuer}`
}
