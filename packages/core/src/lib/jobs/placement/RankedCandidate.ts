import type { SchedulingCandidate } from './SchedulingCandidate.js'

/**
 * A scheduling candidate that a policy has ranked.
 *
 * @public
 */
export interface RankedCandidate extends SchedulingCandidate {
	/** Whether the job would miss its due time even if all its remaining tasks ran at once. */
	readonly isLate: boolean
}
