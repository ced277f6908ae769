import type { RunListing } from './RunListing.js'

/**
 * Outcome of a renewal. `fenced`: the server has seen a higher token; `refused`: nothing listens
 * at the address.
 *
 * @public
 */
export type RenewalResult =
	| { readonly kind: 'listed'; readonly listing: RunListing }
	| { readonly kind: 'fenced' | 'moved' | 'refused' | 'unavailable'; readonly detail: string }
