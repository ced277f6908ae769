import type { Verdict } from '@mastichead/core'
import type { Refusal } from './Refusal.js'

/**
 * Issues request ids and decides which request may run under one.
 *
 * @public
 */
export abstract class RequestIdRegistry {
	/** Issues a fresh id for a caller that asks for one. */
	abstract issue(): string

	/**
	 * Claims the id that a caller shows, or makes one. A claim is held until it is settled.
	 *
	 * @param requestId - empty when the caller shows none
	 * @param request - `idempotent`: whether it may run again, so that it needs no claim
	 */
	abstract claim(
		requestId: string,
		request: { readonly idempotent: boolean }
	): Promise<
		| { readonly type: 'claimed'; readonly requestId: string }
		| { readonly type: 'refused'; readonly refusal: Refusal }
	>

	/** Tells how the request that holds the claim of `requestId` ended. */
	abstract settle(requestId: string, verdict: Verdict): void
}
