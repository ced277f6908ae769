import type { ClaimRequest, SettleRequest } from '@mastichead/protocol'

/**
 * Settles claims on request ids that this instance issued.
 *
 * @public
 */
export abstract class ClaimHandler {
	/** @returns outcome of the claim, as the wire names it */
	abstract claim(request: ClaimRequest): string
	abstract settle(request: SettleRequest): void
}
