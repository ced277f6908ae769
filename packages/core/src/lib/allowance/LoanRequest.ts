import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Requests a loan of allowance, or the renewal of a loan if the lender knows its name.
 *
 * @public
 */
export interface LoanRequest {
	/** Name of the loan, chosen by the borrower and never reused. */
	readonly loan: string
	readonly lender: InstanceId
	readonly borrower: InstanceId
	readonly team: TeamId
	/** Number of units requested. */
	readonly amount: number
}
