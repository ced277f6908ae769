import type { ProposalId } from '../ids/ProposalId.js'
import type { OperatorErrorType } from './OperatorErrorType.js'

/**
 * Body of every answer of the operators' HTTP interface that is an error.
 *
 * @public
 */
export interface OperatorErrorBody {
	readonly error: {
		readonly type: OperatorErrorType
		readonly message: string
		/** The change that the error is about. */
		readonly proposalId?: ProposalId | undefined
	}
}
