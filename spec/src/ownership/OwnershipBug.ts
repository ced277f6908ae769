/**
 * Bugs that can be seeded into the model, each in one place. The search must find each of them.
 *
 * - `earlier-leases-ignored`: a new owner does not wait for the leases of earlier owners to expire
 * - `slow-clock-ignored`: an owner does not allow for the slow clock of a backend server
 * - `suspended-owner-renews`: an owner sends orders and renewals without an answer from the log
 * - `lost-before-leases-end`: an owner declares tasks lost before their leases have expired
 * - `unclear-start-forgotten`: a start without an answer counts as lost if no run is listed
 * - `outdated-listing-trusted`: a listing requested before an order counts as newer than the order
 * - `started-before-durable`: an owner sends a start before its decision is durable
 * - `acknowledged-before-durable`: an owner acknowledges an end before it is durable
 * - `append-not-fenced`: the log accepts an append of an earlier owner
 * - `token-not-raised`: a takeover does not raise the fencing token
 * - `limit-counts-only-confirmed`: placed tasks count towards the limit only when confirmed
 * - `attempt-ignored`: the end of an earlier attempt ends the current one
 */
export type OwnershipBug =
	| 'earlier-leases-ignored'
	| 'slow-clock-ignored'
	| 'suspended-owner-renews'
	| 'lost-before-leases-end'
	| 'unclear-start-forgotten'
	| 'outdated-listing-trusted'
	| 'started-before-durable'
	| 'acknowledged-before-durable'
	| 'append-not-fenced'
	| 'token-not-raised'
	| 'limit-counts-only-confirmed'
	| 'attempt-ignored'
