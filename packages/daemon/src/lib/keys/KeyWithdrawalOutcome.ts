/**
 * How far the withdrawal of a key has come.
 *
 * - `logged`: it is in the log, and with it on every daemon that reaches the log
 * - `spreading`: it holds here and spreads between peers; it is appended once the log answers
 *
 * @public
 */
export type KeyWithdrawalOutcome =
	| { readonly type: 'logged'; readonly offset: number }
	| { readonly type: 'spreading'; readonly reason: string }
