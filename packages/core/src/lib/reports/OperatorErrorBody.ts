import type { ProposalId } from '../ids/ProposalId.js'
import type { OperatorErrorType } from './OperatorErrorType.js'

/**
 * Body of every error response of the operators' HTTP interface.
 *
 * @public
 */
export interface OperatorErrorBody {
	readonly error: {
		readonly type: OperatorErrorType
		readonly message: string
		/** Proposal that the error refers to. */
		readonly proposalId?: ProposalId | undefined
	}
}
