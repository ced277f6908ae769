import type { ClaimRequest, SettleRequest } from '@mastichead/protocol'

/**
 * Handles claims on the request ids that this daemon issued.
 *
 * @public
 */
export abstract class ClaimHandler {
	/** @returns outcome of the claim, as sent in `ClaimReply` */
	abstract claim(request: ClaimRequest): string
	abstract settle(request: SettleRequest): void
}
