/**
 * How one attempt at a backend server ended.
 *
 * - `connection-unavailable`: no connection was free under the caps; nothing was sent anywhere
 * - `connection-refused`: the connection could not be opened
 * - `connection-timeout`: the connection was not open in time
 * - `refused`: the backend server answered that it did not run the request
 * - `reset-before-write`: the connection failed before any byte of the request was written
 * - `reset-after-write`: it failed after bytes were written and before the head of the answer
 * - `head-timeout`: the head of the answer did not come in time
 * - `malformed-response`: what came is not an HTTP answer
 * - `truncated-response`: the body of the answer ended early, after its head had come
 * - `body-timeout`: the body of the answer stalled, after its head had come
 * - `answered`: the whole answer came
 * - `cancelled-before-write`: the caller went away before any byte was written
 * - `cancelled-after-write`: the caller went away, or broke off its body, after bytes were written
 *
 * @public
 */
export type AttemptOutcome =
	| { readonly type: 'connection-unavailable' }
	| { readonly type: 'connection-refused' }
	| { readonly type: 'connection-timeout' }
	| { readonly type: 'refused' }
	| { readonly type: 'reset-before-write' }
	| { readonly type: 'reset-after-write' }
	| { readonly type: 'head-timeout' }
	| { readonly type: 'malformed-response' }
	| { readonly type: 'truncated-response' }
	| { readonly type: 'body-timeout' }
	| { readonly type: 'answered'; readonly status: number }
	| { readonly type: 'cancelled-before-write' }
	| { readonly type: 'cancelled-after-write' }
