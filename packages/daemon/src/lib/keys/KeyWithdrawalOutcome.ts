/**
 * Outcome of the withdrawal of a key.
 *
 * - `logged`: it is in the log, and so known to every daemon that reads the log
 * - `spreading`: it is in effect here and spreads between peers; it is appended once the log
 *   answers
 *
 * @public
 */
export type KeyWithdrawalOutcome =
	| { readonly type: 'logged'; readonly offset: number }
	| { readonly type: 'spreading'; readonly reason: string }
