/**
 * Bugs that can be seeded into the loan model. The search must find each of them.
 *
 * - `lent-unit-not-subtracted`: the lender goes on using the unit that it has lent
 * - `lease-from-answer`: the borrower counts the lease from the answer instead of its request
 * - `reclaim-at-lease-end`: the lender reclaims the unit before runs on it have ended
 * - `late-answer-accepted`: the borrower accepts the answer to a request that it has abandoned
 * - `renewal-not-recorded`: the lender does not postpone the reclaim when it renews a loan
 *
 * @public
 */
export type LoanBug =
	| 'lent-unit-not-subtracted'
	| 'lease-from-answer'
	| 'reclaim-at-lease-end'
	| 'late-answer-accepted'
	| 'renewal-not-recorded'
