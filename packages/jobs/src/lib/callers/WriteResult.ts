/**
 * Whether something is in the log. `not-stored`: it is not and never will be by this write;
 * `unclear`: no answer came, it may be there now or later.
 *
 * @public
 */
export type WriteResult =
	| { readonly kind: 'stored' }
	| { readonly kind: 'not-stored'; readonly reason: string }
	| { readonly kind: 'unclear'; readonly reason: string }
