import type { TeamId } from '../ids/TeamId.js'
import type { TeamLoad } from './TeamLoad.js'

/**
 * Load of one pool as seen by one daemon.
 *
 * @public
 */
export interface PoolLoad {
	/** Total slots of the backend servers in service. */
	readonly capacity: number
	/** Running and queued requests at this daemon, by team. */
	readonly own: ReadonlyMap<TeamId, TeamLoad>
	/** Running and queued requests at all other daemons as of their latest digests, by team. */
	readonly peers: ReadonlyMap<TeamId, TeamLoad>
	/** Share weights, by team. */
	readonly weights: ReadonlyMap<TeamId, number>
}
