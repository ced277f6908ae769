import type { ProposalId } from '@mastichead/core'
import type { ProposalOutcome } from '../log/ProposalOutcome.js'
import { createErrorAnswer } from './createErrorAnswer.js'
import type { OperatorAnswer } from './OperatorAnswer.js'

/**
 * Answers a change with what became of its proposal.
 *
 * @param body - fields of the answer when the change was accepted at `offset`
 * @internal
 */
export function createProposalAnswer(
	proposalId: ProposalId,
	outcome: ProposalOutcome,
	body: (offset: number) => object
): OperatorAnswer {
	if (outcome.type === 'undecided') {
		const type = outcome.mayTakeEffect ? 'outcome-unknown' : 'not-appended'
		return createErrorAnswer(type, outcome.reason, proposalId)
	}
	const { decision } = outcome
	if (decision.type === 'rejected') {
		return createErrorAnswer('rejected', decision.reason, proposalId)
	}
	return { type: 'json', status: 200, body: { proposalId, ...body(decision.offset) } }
}
