/**
 * What one daemon made of one request.
 *
 * - `answer`: it answered, with an error or without
 * - `not-sent`: the request did not reach it
 * - `lost`: the request may have reached it
 *
 * @internal
 */
export type ServerReply =
	| { readonly type: 'answer'; readonly status: number; readonly body: unknown }
	| { readonly type: 'not-sent'; readonly reason: string }
	| { readonly type: 'lost'; readonly reason: string }
