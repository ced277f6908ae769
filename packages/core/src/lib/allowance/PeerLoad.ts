import type { InstanceId } from '../ids/InstanceId.js'

/**
 * Load of one team at a member, as it last reported it to its peers.
 *
 * @public
 */
export interface PeerLoad {
	readonly instance: InstanceId
	/** Number of running requests. */
	readonly running: number
	/** Number of waiting requests. */
	readonly queued: number
	/** Number of units that the member can lend. */
	readonly free: number
}
