import type { SchedulingCandidate } from './SchedulingCandidate.js'
import type { ServiceLoad } from '../pools/ServiceLoad.js'
import type { RankedCandidate } from './RankedCandidate.js'

/**
 * Decides in which order ready steps are placed.
 *
 * @public
 */
export abstract class SchedulingPolicy {
	/**
	 * Returns the candidates in the order in which they are to be placed.
	 *
	 * @param loads - load of the pools by service
	 * @param wallTime - milliseconds since 1970
	 * @param getWeight - returns the weight of a team
	 */
	abstract rank(
		candidates: readonly SchedulingCandidate[],
		loads: ReadonlyMap<string, ServiceLoad>,
		wallTime: number,
		getWeight: (team: string) => number
	): RankedCandidate[]
}
