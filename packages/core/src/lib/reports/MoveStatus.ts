import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'

/**
 * A move of a backend server to another pool that is in progress.
 *
 * @public
 */
export interface MoveStatus {
	readonly backendServer: BackendServerId
	readonly from: PoolId
	readonly to: PoolId
	/** `draining` in the old pool, then `joining` the new one until the server is healthy there. */
	readonly step: 'draining' | 'joining'
}
