import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Asks a member for allowance on loan, or renews a loan when its name is known to the lender.
 *
 * @public
 */
export interface LoanRequest {
	/** Name that the borrower gave the loan; it never names another. */
	readonly loan: string
	readonly lender: InstanceId
	readonly borrower: InstanceId
	readonly team: TeamId
	/** Units asked for. */
	readonly amount: number
}
