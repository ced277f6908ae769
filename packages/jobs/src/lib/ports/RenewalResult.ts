import type { RunListing } from './RunListing.js'

/**
 * Result of a renewal.
 *
 * - `listed`: the server renewed the leases, if asked to, and listed its runs
 * - `fenced`: the server has seen a higher fencing token
 * - `moved`: another incarnation answered
 * - `refused`: nothing listens at the address
 * - `closed`: the connection was closed or reset before an answer came
 * - `unavailable`: no usable answer came
 *
 * @public
 */
export type RenewalResult =
	| { readonly kind: 'listed'; readonly listing: RunListing }
	| {
			readonly kind: 'fenced' | 'moved' | 'refused' | 'closed' | 'unavailable'
			readonly detail: string
	  }
