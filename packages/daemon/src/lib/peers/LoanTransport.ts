import type { InstanceId, LoanReply, LoanRequest, LoanReturn } from '@mastichead/core'

/**
 * Carries loans between members. Every call ends within a bound.
 *
 * @public
 */
export abstract class LoanTransport {
	/**
	 * Asks one lender for loans.
	 *
	 * @returns replies in the order of the requests, or undefined when no answer came
	 */
	abstract borrow(
		lender: InstanceId,
		requests: readonly LoanRequest[]
	): Promise<readonly LoanReply[] | undefined>

	/** @returns whether the lender confirmed */
	abstract returnLoans(lender: InstanceId, returns: readonly LoanReturn[]): Promise<boolean>
}
