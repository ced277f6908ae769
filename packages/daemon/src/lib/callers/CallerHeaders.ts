import type { Milliseconds } from '@mastichead/core'

/**
 * Options of a request that the caller sets in headers.
 *
 * @internal
 */
export interface CallerHeaders {
	/** Issued request id; empty if the caller sent none. */
	readonly requestId: string
	readonly idempotent: boolean
	/** Maximum time until the request starts; the queue's own timeout applies if undefined. */
	readonly startTimeout: Milliseconds | undefined
	/** Path of the request to the backend server. */
	readonly path: string
}
