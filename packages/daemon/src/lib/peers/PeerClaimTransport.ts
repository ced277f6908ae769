import type { InstanceId, RequestId, RequestIdClaimResult, Verdict } from '@mastichead/core'
import { ClaimTransport } from '../requestIds/ClaimTransport.js'
import { parseClaimOutcome } from '../requestIds/parseClaimOutcome.js'
import type { PeerManager } from './PeerManager.js'

/**
 * Sends claims to peers over gRPC. On the wire, the claimant is called `executor`.
 *
 * @internal
 */
export class PeerClaimTransport extends ClaimTransport {
	constructor(private readonly peers: PeerManager) {
		super()
	}

	override async claim(
		issuer: InstanceId,
		{ requestId, claimant }: { readonly requestId: RequestId; readonly claimant: string }
	): Promise<RequestIdClaimResult | { readonly type: 'unreachable' }> {
		const outcome = await this.peers.calls.claim(issuer, requestId, claimant)
		return outcome === undefined ? { type: 'unreachable' } : parseClaimOutcome(outcome)
	}

	override settle(
		issuer: InstanceId,
		settlement: {
			readonly requestId: RequestId
			readonly claimant: string
			readonly verdict: Verdict
		}
	): Promise<boolean> {
		const { requestId, claimant, verdict } = settlement
		return this.peers.calls.settle(issuer, { requestId, executor: claimant, verdict })
	}
}
