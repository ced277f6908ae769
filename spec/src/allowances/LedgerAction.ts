/**
 * Actions of the ledger model.
 *
 * - `advance`: time passes by `by` milliseconds for all members; a paused member does nothing
 *   meanwhile
 * - `append`: a record in flight is appended to the log, possibly once more
 * - `take-all`: the last member acquires all free units and starts a run on each
 * - `return-unused`: the last member releases the units on which nothing runs
 *
 * @public
 */
export type LedgerAction =
	| { readonly kind: 'advance'; readonly by: number }
	| { readonly kind: 'append'; readonly index: number }
	| { readonly kind: 'take-all' | 'return-unused' }
	| { readonly kind: 'limit'; readonly limit: number }
	| {
			readonly kind: 'heartbeat' | 'request' | 'release' | 'read' | 'start'
			readonly member: number
	  }
