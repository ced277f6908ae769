import type { InstanceId } from '../ids/InstanceId.js'

/**
 * What another member last said of one team.
 *
 * @public
 */
export interface PeerLoad {
	readonly instance: InstanceId
	/** Requests of the team that run there. */
	readonly running: number
	/** Requests of the team that wait there. */
	readonly queued: number
	/** Units that it could lend. */
	readonly free: number
}
