import type { PoolId } from '../ids/PoolId.js'

/**
 * Move of one backend server between pools. The planner chooses the server.
 *
 * @public
 */
export interface PoolMove {
	readonly from: PoolId
	readonly to: PoolId
}
