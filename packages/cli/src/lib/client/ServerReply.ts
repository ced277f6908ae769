/**
 * Outcome of one request to one daemon.
 *
 * - `answer`: the daemon answered, possibly with an error
 * - `not-sent`: the request did not reach the daemon
 * - `lost`: the request may have reached the daemon, but there is no answer
 *
 * @internal
 */
export type ServerReply =
	| { readonly type: 'answer'; readonly status: number; readonly body: unknown }
	| { readonly type: 'not-sent'; readonly reason: string }
	| { readonly type: 'lost'; readonly reason: string }
