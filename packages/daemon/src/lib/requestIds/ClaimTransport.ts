import type { InstanceId, RequestId, RequestIdClaimResult, Verdict } from '@mastichead/core'

/**
 * Carries claims to the entry instances that issued the ids. Every call ends within a bound.
 *
 * @public
 */
export abstract class ClaimTransport {
	/**
	 * Claims an id at its issuer.
	 *
	 * @returns `unreachable` when no answer came; the claim may have been taken all the same
	 */
	abstract claim(
		issuer: InstanceId,
		claim: { readonly requestId: RequestId; readonly claimant: string }
	): Promise<RequestIdClaimResult | { readonly type: 'unreachable' }>

	/**
	 * Tells the issuer how a claimed request ended.
	 *
	 * @returns whether the issuer answered
	 */
	abstract settle(
		issuer: InstanceId,
		settlement: {
			readonly requestId: RequestId
			readonly claimant: string
			readonly verdict: Verdict
		}
	): Promise<boolean>
}
