import type { Milliseconds, Verdict } from '@mastichead/core'

/**
 * Types of the errors that a caller may receive before its request starts.
 *
 * @public
 */
type RefusalError =
	| 'not-found'
	| 'method-not-allowed'
	| 'unknown-queue'
	| 'key-missing'
	| 'key-malformed'
	| 'key-refused'
	| 'team-refused'
	| 'keys-isolated'
	| 'request-malformed'
	| 'header-malformed'
	| 'too-many-connections'
	| 'body-too-large'
	| 'body-incomplete'
	| 'queue-full'
	| 'too-many-requests'
	| 'too-many-bodies'
	| 'start-too-late'
	| 'request-id-unknown'
	| 'request-id-expired'
	| 'request-id-unavailable'
	| 'request-repeated'
	| 'shutting-down'
	| 'not-ready'
	| 'internal'

/**
 * An error response to a caller.
 *
 * @public
 */
export interface Refusal {
	readonly status: number
	readonly error: RefusalError
	readonly message: string
	readonly verdict: Verdict
	/** Time after which a retry may succeed; undefined if a retry does not help. */
	readonly retryAfter?: Milliseconds | undefined
}
