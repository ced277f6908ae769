import type { InstanceId, RequestId, RequestIdClaimResult, Verdict } from '@mastichead/core'

/**
 * Sends claims to the daemons that issued the request ids. Every call ends within a timeout.
 *
 * @public
 */
export abstract class ClaimTransport {
	/**
	 * Claims a request id at its issuer.
	 *
	 * @returns `unreachable` if the issuer did not answer; it may have recorded the claim anyway
	 */
	abstract claim(
		issuer: InstanceId,
		claim: { readonly requestId: RequestId; readonly claimant: string }
	): Promise<RequestIdClaimResult | { readonly type: 'unreachable' }>

	/**
	 * Reports the verdict of a claimed request to its issuer.
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
