/**
 * Result of an append.
 *
 * - `appended`: `offset` is that of the first record, `end` the next free offset of the stream
 * - `fenced`: an owner of a later term has written
 * - `rejected`: nothing was appended
 * - `unknown`: no answer came; the records may have been appended or may still be
 *
 * @public
 */
export type AppendResult =
	| { readonly kind: 'appended'; readonly offset: number; readonly end: number }
	| { readonly kind: 'fenced'; readonly reason: string }
	| { readonly kind: 'rejected'; readonly reason: string }
	| { readonly kind: 'unknown'; readonly reason: string }
