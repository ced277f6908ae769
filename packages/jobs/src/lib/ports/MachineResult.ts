/**
 * Outcome of an order for a machine. `unknown`: it may be carried out, also later.
 *
 * @public
 */
export type MachineResult =
	| { readonly kind: 'done' }
	| { readonly kind: 'refused'; readonly reason: 'fence' | 'busy' | 'wave' | 'other' }
	| { readonly kind: 'limited' | 'unknown'; readonly detail: string }
