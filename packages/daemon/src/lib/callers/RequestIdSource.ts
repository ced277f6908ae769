import type { Refusal } from './Refusal.js'

/**
 * Issues request ids and decides which request may run under one.
 *
 * @public
 */
export abstract class RequestIdSource {
	/** Issues a fresh id for a caller that asks for one. */
	abstract issue(): string

	/**
	 * Claims the id that a caller shows, or makes one.
	 *
	 * @param requestId - empty when the caller shows none
	 */
	abstract claim(
		requestId: string
	): Promise<
		| { readonly type: 'claimed'; readonly requestId: string }
		| { readonly type: 'refused'; readonly refusal: Refusal }
	>
}
