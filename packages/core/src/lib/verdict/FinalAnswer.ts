import type { Milliseconds } from '../time/Milliseconds.js'
import type { FinalErrorType } from './FinalErrorType.js'
import type { Verdict } from './Verdict.js'

/**
 * The end of a request as its caller is told.
 *
 * `answered` passes the backend server's own answer on. `failed` stands in its place; once the head
 * of an answer was passed on, it can only be told by destroying the caller's connection.
 *
 * @public
 */
export type FinalAnswer =
	| { readonly type: 'answered'; readonly verdict: 'ran' }
	| {
			readonly type: 'failed'
			readonly verdict: Verdict
			/** HTTP status. */
			readonly status: number
			/** Tag of the error. */
			readonly error: FinalErrorType
			readonly message: string
			/** When it makes sense to come back; absent where it does not help. */
			readonly retryAfter?: Milliseconds | undefined
	  }
