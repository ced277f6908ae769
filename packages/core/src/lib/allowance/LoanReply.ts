import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * What the lender gives. The borrower counts the lease from before it asked.
 *
 * @public
 */
export interface LoanReply {
	/** Units on loan; 0 when there is none to give. */
	readonly amount: number
	readonly leaseMilliseconds: Milliseconds
	/** Longest run that may be started on the loan. */
	readonly runMilliseconds: Milliseconds
}
