import type { Decision } from '@mastichead/core'

/**
 * What became of a proposal.
 *
 * - `decided`: the fold accepted or rejected it
 * - `not-appended`: it is not in the log and will not be
 * - `unknown`: it may be in the log; proposing it again with the same id settles it
 *
 * @public
 */
export type ProposalOutcome =
	| { readonly type: 'decided'; readonly decision: Decision }
	| { readonly type: 'not-appended'; readonly reason: string }
	| { readonly type: 'unknown'; readonly reason: string }
