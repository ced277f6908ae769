/**
 * Messages of the loan model. `askedAt` is what the borrower remembers of its request.
 *
 * @public
 */
export type LoanMessage =
	| { readonly kind: 'request' | 'answer'; readonly loan: number; readonly requestedAt: number }
	| { readonly kind: 'return'; readonly loan: number }
