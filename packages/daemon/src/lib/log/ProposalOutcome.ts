import type { Decision } from '@mastichead/core'

/**
 * How a proposal ended within its deadline.
 *
 * - `decided`: the fold accepted or rejected it
 * - `undecided`: the fold had not met it; `mayTakeEffect` says whether it still can
 *
 * @public
 */
export type ProposalOutcome =
	| { readonly type: 'decided'; readonly decision: Decision }
	| { readonly type: 'undecided'; readonly mayTakeEffect: boolean; readonly reason: string }
