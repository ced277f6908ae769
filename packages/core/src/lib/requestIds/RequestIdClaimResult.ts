import type { Verdict } from '../verdict/Verdict.js'

/**
 * Answer to a claim of a request id.
 *
 * - `first`: the claimant may run the request
 * - `running`: another claim is under way, so the request may have run
 * - `settled`: an earlier submission ended with `verdict`
 * - `expired`: no record is kept (any more, or at this incarnation), so the request may have run
 * - `unknown`: the issuer never issued the id, so nothing ran under it
 *
 * @public
 */
export type RequestIdClaimResult =
	| { readonly type: 'first' }
	| { readonly type: 'running' }
	| { readonly type: 'settled'; readonly verdict: Exclude<Verdict, 'not-run'> }
	| { readonly type: 'expired' }
	| { readonly type: 'unknown' }
