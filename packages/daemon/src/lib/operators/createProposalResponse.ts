import type { ProposalId } from '@mastichead/core'
import type { ProposalOutcome } from '../log/ProposalOutcome.js'
import { createErrorResponse } from './createErrorResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'

/**
 * Creates the response to a change from the outcome of its proposal.
 *
 * @param getBody - returns the response fields for a change accepted at `offset`
 * @internal
 */
export function createProposalResponse(
	proposalId: ProposalId,
	outcome: ProposalOutcome,
	getBody: (offset: number) => object
): OperatorResponse {
	if (outcome.type === 'undecided') {
		const type = outcome.mayTakeEffect ? 'outcome-unknown' : 'not-appended'
		return createErrorResponse(type, outcome.reason, proposalId)
	}
	const { decision } = outcome
	if (decision.type === 'rejected') {
		return createErrorResponse('rejected', decision.reason, proposalId)
	}
	return { type: 'json', status: 200, body: { proposalId, ...getBody(decision.offset) } }
}
