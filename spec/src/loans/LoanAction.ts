/**
 * Actions of the loan model.
 *
 * @public
 */
export type LoanAction =
	| { readonly kind: 'advance'; readonly by: number }
	| { readonly kind: 'deliver'; readonly index: number }
	| { readonly kind: 'request' | 'start-lender' }
	| { readonly kind: 'abandon' | 'renew' | 'give-back' | 'start-borrower'; readonly loan: number }
