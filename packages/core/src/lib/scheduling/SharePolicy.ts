import type { TeamId } from '../ids/TeamId.js'
import type { PoolLoad } from './PoolLoad.js'

/**
 * Decides which teams may start work on a pool, and in which order.
 *
 * @public
 */
export abstract class SharePolicy {
	abstract readonly name: string

	/**
	 * Teams with waiting work here that may start one more request now, the first in turn first.
	 */
	abstract rankTeams(load: PoolLoad): TeamId[]
}
