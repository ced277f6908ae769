import type { AllowanceChange } from '../log/AllowanceChange.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'

/**
 * What a member has to send after a tick.
 *
 * @public
 */
export interface AllowanceActions {
	/** To be proposed to the log, one proposal at a time. */
	readonly changes: readonly AllowanceChange[]
	/** New loans and renewals to ask for. */
	readonly requests: readonly LoanRequest[]
	readonly returns: readonly LoanReturn[]
}
