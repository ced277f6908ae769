/**
 * Bugs that can be seeded into the lease model. The search must find each of them.
 *
 * - `renewed-before-durable`: an owner renews leases before the deletion of `lost` is durable
 * - `inherited-leases-ignored`: the time in a `lost` record leaves out the leases of earlier terms
 * - `ordered-before-term-durable`: an owner sends an order before the record of its term is durable
 * - `silence-from-acknowledgement`: an owner counts its silence from an acknowledgement, not from the
 *   first attempt of the append
 * - `ended-while-sending`: an owner records the end of its term and goes on to send orders
 * - `instance-ended`: the record of an end names the instance and ends every term of it
 * - `silence-ignored`: an owner sends orders without an answer from the log
 * - `lease-from-arrival`: a lease counts from the arrival of its order
 * - `lower-token-accepted`: the server carries out orders under a token lower than one that it has seen
 * - `append-not-fenced`: the log accepts records of earlier terms
 * - `fence-not-read`: a new owner relies on what its process read before its fence
 * - `lease-ignored`: a new owner does not wait for the lease of the last order
 * - `deleted-term-ignored`: a new process takes a term whose record was deleted for one that never was
 * - `earlier-receipt-kept`: a process that missed records of a term counts from an earlier one when it
 *   finds the term ended
 * - `ended-too-soon`: a later owner records the end of a term that may still send orders
 * - `ended-by-follower`: a process that is not the owner records the end of another's term
 * - `only-term-records-dated`: a reader dates a term by its `term` records, but each record extends the
 *   time in which its owner may send orders
 * - `earlier-attempt-written`: the log carries out an earlier attempt of an append after a later append
 */
export type LeaseBug =
	| 'renewed-before-durable'
	| 'inherited-leases-ignored'
	| 'ordered-before-term-durable'
	| 'silence-from-acknowledgement'
	| 'ended-while-sending'
	| 'instance-ended'
	| 'silence-ignored'
	| 'lease-from-arrival'
	| 'lower-token-accepted'
	| 'append-not-fenced'
	| 'fence-not-read'
	| 'lease-ignored'
	| 'deleted-term-ignored'
	| 'earlier-receipt-kept'
	| 'ended-too-soon'
	| 'ended-by-follower'
	| 'only-term-records-dated'
	| 'earlier-attempt-written'
