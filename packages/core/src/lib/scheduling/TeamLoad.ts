import type { TeamId } from '../ids/TeamId.js'

/**
 * Load of one team on one pool.
 *
 * @public
 */
export interface TeamLoad {
	readonly team: TeamId
	readonly running: number
	readonly queued: number
}
