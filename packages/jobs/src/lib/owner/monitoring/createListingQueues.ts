import { ConcurrencyLimit } from '../../ConcurrencyLimit.js'

/**
 * Maximum numbers of backend servers that are listed at a time for the first time in a term, and
 * again after a failure. A listing has some KB, and up to 35 KB with 500 ends.
 */
const MAXIMUM_FIRST_LISTINGS = 48
const MAXIMUM_REPEATED_LISTINGS = 8

/**
 * Creates the queues that limit the first listings of a term, which all its monitors share.
 *
 * @internal
 */
export function createListingQueues(): {
	/** For the first listing of each server. */
	readonly firstListings: ConcurrencyLimit
	/** For first listings that failed and are tried again. */
	readonly repeatedListings: ConcurrencyLimit
} {
	return {
		firstListings: new ConcurrencyLimit(MAXIMUM_FIRST_LISTINGS),
		repeatedListings: new ConcurrencyLimit(MAXIMUM_REPEATED_LISTINGS),
	}
}
