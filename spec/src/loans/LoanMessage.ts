/**
 * Messages of the loan model. `requestedAt` is the instant at which the borrower sent the request,
 * in milliseconds. In the real protocol the borrower remembers it and no message carries it.
 *
 * @public
 */
export type LoanMessage =
	| { readonly kind: 'request' | 'answer'; readonly loan: number; readonly requestedAt: number }
	| { readonly kind: 'return'; readonly loan: number }
