import { ListingQueue } from './ListingQueue.js'

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
	readonly firstListings: ListingQueue
	/** For first listings that failed and are tried again. */
	readonly repeatedListings: ListingQueue
} {
	return {
		firstListings: new ListingQueue(MAXIMUM_FIRST_LISTINGS),
		repeatedListings: new ListingQueue(MAXIMUM_REPEATED_LISTINGS),
	}
}
