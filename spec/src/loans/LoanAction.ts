/**
 * Actions of the loan model.
 *
 * - `advance`: time passes by `by` milliseconds
 * - `deliver`: a message in flight arrives, possibly once more
 * - `request`, `renew`: the borrower requests a new loan, or more time for one that it holds
 * - `abandon`: the borrower gives up a request without an answer and sends a return for it
 * - `give-back`: the borrower returns a loan on which nothing runs
 *
 * @public
 */
export type LoanAction =
	| { readonly kind: 'advance'; readonly by: number }
	| { readonly kind: 'deliver'; readonly index: number }
	| { readonly kind: 'request' | 'start-lender' }
	| { readonly kind: 'abandon' | 'renew' | 'give-back' | 'start-borrower'; readonly loan: number }
