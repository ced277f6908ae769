/**
 * A record about the id.
 *
 * - `submission`, `cancellation`: what a team asked for
 * - `deletion`: deletes the record at the offset `of`
 */
export type SubmissionRecord =
	| { readonly kind: 'submission' | 'cancellation'; readonly team: string }
	| { readonly kind: 'deletion'; readonly of: number }
