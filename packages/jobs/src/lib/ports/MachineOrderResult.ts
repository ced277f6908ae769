/**
 * Result of an order for a machine.
 *
 * - `done`: carried out
 * - `refused`: not carried out, for one of the platform's reasons
 * - `limited`: not carried out; the request was not sent or was rejected
 * - `unknown`: it may have been carried out or may still be
 *
 * @public
 */
export type MachineOrderResult =
	| { readonly kind: 'done' }
	| { readonly kind: 'refused'; readonly reason: 'fence' | 'busy' | 'wave' | 'other' }
	| { readonly kind: 'limited' | 'unknown'; readonly detail: string }
