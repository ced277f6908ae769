import type { InstanceId, LoanReply, LoanRequest, LoanReturn } from '@mastichead/core'

/**
 * Sends loan requests and returns to other members. Every call ends within a timeout.
 *
 * @public
 */
export abstract class LoanTransport {
	/**
	 * Requests loans from one lender.
	 *
	 * @returns replies in the order of the requests, or undefined if the lender did not answer
	 */
	abstract borrow(
		lender: InstanceId,
		requests: readonly LoanRequest[]
	): Promise<readonly LoanReply[] | undefined>

	/** @returns whether the lender confirmed */
	abstract returnLoans(lender: InstanceId, returns: readonly LoanReturn[]): Promise<boolean>
}
