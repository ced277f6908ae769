/**
 * Result of an order to a backend server.
 *
 * - `taken`: carried out; `clock` is the time on the server's clock, in milliseconds
 * - `refused`: not carried out, for one of the protocol's reasons
 * - `invalid`: not carried out; the server does not accept such a request
 * - `unhealthy`: not carried out; the server is overloaded or unavailable
 * - `moved`: another incarnation answered
 * - `unsent`: the order was not sent
 * - `unknown`: it may have been carried out or may still be
 *
 * @public
 */
export type BackendOrderResult =
	| { readonly kind: 'taken'; readonly clock: number }
	| {
			readonly kind: 'refused'
			readonly reason: 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'other'
			readonly clock: number | undefined
	  }
	| { readonly kind: 'invalid' | 'unhealthy' | 'moved'; readonly detail: string }
	| { readonly kind: 'unsent' | 'unknown'; readonly detail: string }
