import type { FinalAnswer } from './FinalAnswer.js'

/**
 * What follows on the end of an attempt.
 *
 * - `wait`: nothing was sent; the request goes back to the front of its queue
 * - `retry`: try at once on a backend server that is not excluded
 * - `final`: answer the caller now
 *
 * @public
 */
export type AttemptDecision =
	| { readonly type: 'wait' }
	| { readonly type: 'retry' }
	| { readonly type: 'final'; readonly answer: FinalAnswer }
