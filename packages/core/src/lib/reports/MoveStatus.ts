import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'

/**
 * A move of a backend server to another pool that is under way.
 *
 * @public
 */
export interface MoveStatus {
	readonly backendServer: BackendServerId
	readonly from: PoolId
	readonly to: PoolId
	/** Draining in the old pool, or joining the new one until it is healthy there. */
	readonly step: 'draining' | 'joining'
}
