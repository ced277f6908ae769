/**
 * Result of writing a record to the log.
 *
 * - `stored`: the record is in the log, and this instance has read all records before it in its stream
 * - `not-stored`: it is not in the log, and this write will not add it
 * - `unclear`: the record may be in the log now or later, or what came before it is not known
 *
 * @public
 */
export type WriteResult =
	| { readonly kind: 'stored' }
	| { readonly kind: 'not-stored'; readonly reason: string }
	| { readonly kind: 'unclear'; readonly reason: string }
