/**
 * Actions of the ledger model.
 *
 * - `advance`: time passes for everyone; paused holders simply do nothing meanwhile
 * - `grab`, `yield`: the last member takes all room, or gives back what it does not use
 * - `append`: a record in flight reaches the log, perhaps again
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
