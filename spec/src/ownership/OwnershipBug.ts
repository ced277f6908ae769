/** Mistakes that the search has to find, each in one place of the model. */
export type OwnershipBug =
	| 'earlier-leases-ignored'
	| 'slow-clock-ignored'
	| 'suspended-owner-renews'
	| 'lost-before-leases-end'
	| 'unclear-start-forgotten'
	| 'listing-older-than-order-counts'
	| 'started-before-durable'
	| 'acknowledged-before-durable'
	| 'append-not-fenced'
	| 'token-kept'
	| 'limit-counts-confirmed'
	| 'attempt-ignored'
