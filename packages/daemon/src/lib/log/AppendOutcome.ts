/**
 * Outcome of an append.
 *
 * - `appended`: the records are in the log
 * - `refused`: the platform did not take them
 * - `unknown`: they may be in the log or come to be in it
 *
 * @public
 */
export type AppendOutcome =
	| { readonly type: 'appended' }
	| { readonly type: 'refused'; readonly reason: string }
	| { readonly type: 'unknown'; readonly reason: string }
