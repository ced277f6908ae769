import type { TeamId } from '../ids/TeamId.js'

/**
 * Load of one team on one pool.
 *
 * @public
 */
export interface TeamLoad {
	readonly team: TeamId
	/** Number of running requests. */
	readonly running: number
	/** Number of waiting requests. */
	readonly queued: number
}
