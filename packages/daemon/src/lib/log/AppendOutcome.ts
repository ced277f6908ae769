/**
 * Outcome of an append.
 *
 * - `appended`: the records are in the log
 * - `refused`: the platform rejected the records
 * - `unknown`: the call failed; the records may be in the log or may still be appended
 *
 * @public
 */
export type AppendOutcome =
	| { readonly type: 'appended' }
	| { readonly type: 'refused'; readonly reason: string }
	| { readonly type: 'unknown'; readonly reason: string }
