import type { Decision } from '@mastichead/core'

/**
 * Outcome of a proposal within its timeout.
 *
 * - `decided`: the fold accepted or rejected it
 * - `undecided`: it was not folded in time; `mayTakeEffect` says whether it still can be
 *
 * @public
 */
export type ProposalOutcome =
	| { readonly type: 'decided'; readonly decision: Decision }
	| { readonly type: 'undecided'; readonly mayTakeEffect: boolean; readonly reason: string }
