/**
 * Bugs that can be seeded into the loan model. The search must find each of them.
 *
 * @public
 */
export type LoanBug =
	| 'lends-without-subtracting'
	| 'lease-from-answer'
	| 'reclaim-at-lease-end'
	| 'late-answer-counts'
	| 'renewal-not-noted'
