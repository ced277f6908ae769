import type { FinalAnswer } from './FinalAnswer.js'

/**
 * What to do after an attempt has ended.
 *
 * - `wait`: nothing was sent; put the request back at the front of its queue
 * - `retry`: retry immediately on a backend server that is not excluded
 * - `final`: answer the caller now
 *
 * @public
 */
export type AttemptDecision =
	| { readonly type: 'wait' }
	| { readonly type: 'retry' }
	| { readonly type: 'final'; readonly answer: FinalAnswer }
