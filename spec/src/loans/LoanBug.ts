/**
 * Mistakes that the search must find in the loan model.
 *
 * @public
 */
export type LoanBug =
	| 'lends-without-subtracting'
	| 'lease-from-answer'
	| 'reclaim-at-lease-end'
	| 'late-answer-counts'
	| 'renewal-not-noted'
