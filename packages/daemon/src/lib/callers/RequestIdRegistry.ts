import type { Verdict } from '@mastichead/core'
import type { Refusal } from './Refusal.js'

/**
 * Issues request ids and decides which request may run under an id.
 *
 * @public
 */
export abstract class RequestIdRegistry {
	/** Issues a new request id. */
	abstract issue(): string

	/**
	 * Claims the id that a caller sent, or issues and claims a new one. `settle` ends the claim.
	 *
	 * @param requestId - empty if the caller sent none
	 * @param request - `idempotent`: whether the request may run more than once and so needs no claim
	 */
	abstract claim(
		requestId: string,
		request: { readonly idempotent: boolean }
	): Promise<
		| { readonly type: 'claimed'; readonly requestId: string }
		| { readonly type: 'refused'; readonly refusal: Refusal }
	>

	/** Records the verdict of the request that holds the claim on `requestId`. */
	abstract settle(requestId: string, verdict: Verdict): void
}
