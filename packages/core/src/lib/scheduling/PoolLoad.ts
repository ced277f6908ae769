import type { TeamId } from '../ids/TeamId.js'
import type { TeamLoad } from './TeamLoad.js'

/**
 * Load of one pool as one daemon knows it.
 *
 * @public
 */
export interface PoolLoad {
	/** Slots of the backend servers in service. */
	readonly capacity: number
	/** What runs and waits at this daemon. */
	readonly own: ReadonlyMap<TeamId, TeamLoad>
	/** What ran and waited at all other daemons by their last digests. */
	readonly peers: ReadonlyMap<TeamId, TeamLoad>
	/** Weights of the teams. */
	readonly weights: ReadonlyMap<TeamId, number>
}
