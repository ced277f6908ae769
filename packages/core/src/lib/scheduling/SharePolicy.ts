import type { TeamId } from '../ids/TeamId.js'
import type { PoolLoad } from './PoolLoad.js'

/**
 * Decides which teams may start requests on a pool, and in which order.
 *
 * @public
 */
export abstract class SharePolicy {
	abstract readonly name: string

	/**
	 * Returns the teams that have requests waiting at this daemon and may start one more now, in the
	 * order in which they get to start.
	 */
	abstract rankTeams(load: PoolLoad): TeamId[]
}
