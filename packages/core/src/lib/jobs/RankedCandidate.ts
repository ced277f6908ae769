import type { SchedulingCandidate } from './SchedulingCandidate.js'

/**
 * A step in its turn.
 *
 * @public
 */
export interface RankedCandidate extends SchedulingCandidate {
	/** Its job cannot be in time any more, even if all of it ran at once. */
	readonly isLate: boolean
}
