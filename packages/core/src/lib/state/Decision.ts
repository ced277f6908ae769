/**
 * Decision of the fold on a proposal, with the offset of the proposal.
 *
 * @public
 */
export type Decision =
	| { readonly type: 'accepted'; readonly offset: number }
	| { readonly type: 'rejected'; readonly offset: number; readonly reason: string }
