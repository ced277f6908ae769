import type { Milliseconds } from '../time/Milliseconds.js'
import type { FinalErrorType } from './FinalErrorType.js'
import type { Verdict } from './Verdict.js'

/**
 * Final answer to the caller of a request.
 *
 * `answered` forwards the response of the backend server. `failed` replaces it with an error. Once
 * the head of a response was forwarded, a failure can only destroy the caller's connection.
 *
 * @public
 */
export type FinalAnswer =
	| { readonly type: 'answered'; readonly verdict: 'ran' }
	| {
			readonly type: 'failed'
			readonly verdict: Verdict
			/** HTTP status code. */
			readonly status: number
			readonly error: FinalErrorType
			readonly message: string
			/** Time after which a retry makes sense; absent if a retry is not advised. */
			readonly retryAfter?: Milliseconds | undefined
	  }
