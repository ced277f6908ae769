import type { ProposalId } from '@mastichead/core'
import { createErrorAnswer } from './createErrorAnswer.js'
import type { OperatorAnswer } from './OperatorAnswer.js'
import type { ProposalOutcome } from './ProposalOutcome.js'

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
	switch (outcome.type) {
		case 'not-appended':
			return createErrorAnswer('not-appended', outcome.reason, proposalId)
		case 'unknown':
			return createErrorAnswer('outcome-unknown', outcome.reason, proposalId)
		case 'decided': {
			const { decision } = outcome
			if (decision.type === 'rejected') {
				return createErrorAnswer('rejected', decision.reason, proposalId)
			}
			return { type: 'json', status: 200, body: { proposalId, ...body(decision.offset) } }
		}
	}
}
