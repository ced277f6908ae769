/**
 * How one attempt at a backend server ended.
 *
 * - `connection-unavailable`: all connections allowed by the limits were in use; nothing was sent
 * - `connection-refused`: the connection could not be opened
 * - `connection-timeout`: the connection was not established in time
 * - `refused`: the backend server answered that it did not run the request
 * - `reset-before-write`: the connection failed before any byte of the request was written
 * - `reset-after-write`: the connection failed after bytes were written, before the response head
 * - `head-timeout`: the response head did not arrive in time
 * - `malformed-response`: the response is not valid HTTP
 * - `truncated-response`: the response body ended early, after the head had arrived
 * - `body-timeout`: the response body stalled, after the head had arrived
 * - `answered`: the complete response arrived
 * - `cancelled-before-write`: the caller disconnected before any byte was written
 * - `cancelled-after-write`: the caller disconnected, or aborted its body, after bytes were written
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
