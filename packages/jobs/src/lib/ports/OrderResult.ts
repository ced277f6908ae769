/**
 * Outcome of an order to a backend server. `taken`: carried out; `refused`: not carried out, for
 * one of the protocol's reasons; `unhealthy`: not carried out, the server is in trouble; `moved`:
 * another incarnation answered; `unsent`: the order never left; `unknown`: it may be carried out,
 * also later.
 *
 * @public
 */
export type OrderResult =
	| { readonly kind: 'taken'; readonly clock: number }
	| {
			readonly kind: 'refused'
			readonly reason: 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'other'
			readonly clock: number | undefined
	  }
	| { readonly kind: 'invalid' | 'unhealthy' | 'moved'; readonly detail: string }
	| { readonly kind: 'unsent' | 'unknown'; readonly detail: string }
