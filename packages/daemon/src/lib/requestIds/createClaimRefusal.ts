import type { RequestIdClaimResult } from '@mastichead/core'
import type { Refusal } from '../callers/Refusal.js'

const RUNNING_RETRY_AFTER_MILLISECONDS = 1000
const UNREACHABLE_RETRY_AFTER_MILLISECONDS = 2000

/**
 * Creates the refusal of a request whose id could not be claimed.
 *
 * @internal
 */
export function createClaimRefusal(
	claim: Exclude<RequestIdClaimResult, { type: 'first' }> | { readonly type: 'unreachable' }
): Refusal {
	switch (claim.type) {
		case 'running':
			return {
				status: 409,
				error: 'request-repeated',
				message: 'a request with this id is under way',
				verdict: 'may-have-run',
				retryAfter: RUNNING_RETRY_AFTER_MILLISECONDS,
			}
		case 'settled':
			return {
				status: 409,
				error: 'request-repeated',
				message: 'a request with this id has ended',
				verdict: claim.verdict,
			}
		case 'expired':
			return {
				status: 409,
				error: 'request-id-expired',
				message: 'nothing is known of this request id any more',
				verdict: 'may-have-run',
			}
		case 'unknown':
			return {
				status: 400,
				error: 'request-id-unknown',
				message: 'this request id was never issued',
				verdict: 'not-run',
			}
		case 'unreachable':
			return {
				status: 503,
				error: 'request-id-unavailable',
				message: 'the entry instance that issued this request id does not answer',
				verdict: 'may-have-run',
				retryAfter: UNREACHABLE_RETRY_AFTER_MILLISECONDS,
			}
	}
}
