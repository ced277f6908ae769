import type { Verdict } from '../verdict/Verdict.js'

/**
 * Result of claiming a request id.
 *
 * - `first`: the claimant may run the request
 * - `running`: another claimant holds the id, so the request may have run
 * - `settled`: an earlier submission ended with `verdict`
 * - `expired`: this incarnation has no record, or no longer has one, so the request may have run
 * - `unknown`: the id was never issued, so no request ran under it
 *
 * @public
 */
export type RequestIdClaimResult =
	| { readonly type: 'first' }
	| { readonly type: 'running' }
	| { readonly type: 'settled'; readonly verdict: Exclude<Verdict, 'not-run'> }
	| { readonly type: 'expired' }
	| { readonly type: 'unknown' }
