import type { AllowanceChange } from '../log/AllowanceChange.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'

/**
 * Messages that a member has to send after a tick.
 *
 * @public
 */
export interface AllowanceActions {
	/** Changes to propose to the log, one proposal at a time. */
	readonly changes: readonly AllowanceChange[]
	/** Requests for new loans and for renewals. */
	readonly requests: readonly LoanRequest[]
	/** Loans, or parts of them, to return to their lenders. */
	readonly returns: readonly LoanReturn[]
}
