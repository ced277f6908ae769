/**
 * A record that an instance appends to the log.
 *
 * - `term`: the term exists and its owner may send orders
 * - `lost`: the owner renews no leases on the server; `ticks` after it was created, all have expired
 * - `renewed`: the owner renews leases on the server again, which deletes the `lost` record
 * - `ended`: the term has sent its last order; the only record that is not fenced
 */
export type LeaseRecord =
	| { readonly kind: 'term'; readonly token: number }
	| { readonly kind: 'lost'; readonly token: number; readonly ticks: number }
	| { readonly kind: 'renewed'; readonly token: number }
	| { readonly kind: 'ended'; readonly token: number }
