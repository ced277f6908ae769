import type { Milliseconds } from '@mastichead/core'

/**
 * What a caller says of its request in headers.
 *
 * @internal
 */
export interface CallerHeaders {
	/** Issued request id; empty when the caller shows none. */
	readonly requestId: string
	readonly idempotent: boolean
	/** Longest time to the start; absent for the queue's own. */
	readonly startTimeout: Milliseconds | undefined
	/** Path at the backend server. */
	readonly path: string
}
