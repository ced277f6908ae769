/**
 * Outcome of an append. `rejected`: nothing was appended; `unknown`: no answer came, the records
 * may be appended, also later; `fenced`: an owner of a later term has written.
 *
 * @public
 */
export type AppendResult =
	| { readonly kind: 'appended'; readonly offset: number; readonly end: number }
	| { readonly kind: 'fenced'; readonly reason: string }
	| { readonly kind: 'rejected'; readonly reason: string }
	| { readonly kind: 'unknown'; readonly reason: string }
