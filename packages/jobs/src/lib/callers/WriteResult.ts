/**
 * Result of writing a record to the log.
 *
 * - `stored`: the record is in the log
 * - `not-stored`: it is not in the log, and this write will not add it
 * - `unclear`: no answer came; the record may be in the log now or later
 *
 * @public
 */
export type WriteResult =
	| { readonly kind: 'stored' }
	| { readonly kind: 'not-stored'; readonly reason: string }
	| { readonly kind: 'unclear'; readonly reason: string }
