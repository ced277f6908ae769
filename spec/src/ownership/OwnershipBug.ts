/** Bugs that can be seeded into the model, each in one place. The search must find each of them. */
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
