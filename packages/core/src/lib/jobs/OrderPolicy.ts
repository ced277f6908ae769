import type { OrderCandidate } from './OrderCandidate.js'
import type { OrderedCandidate } from './OrderedCandidate.js'

/**
 * Decides which step is placed first when not all can be.
 *
 * @public
 */
export abstract class OrderPolicy {
	/**
	 * The candidates in the order in which they are placed.
	 *
	 * @param cores - cores of the backend servers of each service
	 * @param wallTime - milliseconds since 1970
	 */
	abstract sort(
		candidates: readonly OrderCandidate[],
		cores: ReadonlyMap<string, number>,
		wallTime: number
	): OrderedCandidate[]
}
