import type { Verdict } from '@mastichead/core'
import type { ClaimRequest, SettleRequest } from '@mastichead/protocol'
import { formatClaimOutcome } from '../requestIds/formatClaimOutcome.js'
import type { RequestIdManager } from '../requestIds/RequestIdManager.js'
import { ClaimHandler } from './ClaimHandler.js'

/**
 * Answers the claims of peers on request ids that this daemon issued.
 *
 * @internal
 */
export class LocalClaimHandler extends ClaimHandler {
	constructor(private readonly requestIds: () => RequestIdManager) {
		super()
	}

	override claim({ requestId, executor }: ClaimRequest): string {
		return formatClaimOutcome(this.requestIds().claimIssued(requestId, executor))
	}

	override settle({ requestId, executor, verdict }: SettleRequest): void {
		this.requestIds().settleIssued(requestId, executor, parseVerdict(verdict))
	}
}

/** Parses a verdict; an unknown one counts as `may-have-run`, which excludes nothing. */
function parseVerdict(text: string): Verdict {
	return text === 'ran' || text === 'not-run' ? text : 'may-have-run'
}
