import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Reply to a loan request. The lease starts at the borrower before it sends the request.
 *
 * @public
 */
export interface LoanReply {
	/** Number of units lent; 0 for a refusal. */
	readonly amount: number
	readonly leaseMilliseconds: Milliseconds
	/** Longest run of a request that may start on the loan. */
	readonly runMilliseconds: Milliseconds
}
