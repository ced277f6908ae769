/**
 * What the fold decided on a proposal.
 *
 * @public
 */
export type Decision =
	| { readonly type: 'accepted'; readonly offset: number }
	| { readonly type: 'rejected'; readonly offset: number; readonly reason: string }
