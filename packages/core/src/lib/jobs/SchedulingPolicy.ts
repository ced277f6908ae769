import type { SchedulingCandidate } from './SchedulingCandidate.js'
import type { RankedCandidate } from './RankedCandidate.js'

/**
 * Decides which step is placed first when not all can be.
 *
 * @public
 */
export abstract class SchedulingPolicy {
	/**
	 * The candidates in the order in which they are placed.
	 *
	 * @param cores - cores of the backend servers of each service
	 * @param wallTime - milliseconds since 1970
	 */
	abstract rank(
		candidates: readonly SchedulingCandidate[],
		cores: ReadonlyMap<string, number>,
		wallTime: number
	): RankedCandidate[]
}
