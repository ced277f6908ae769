import type { PoolId } from '../ids/PoolId.js'

/**
 * One backend server, whichever suits, to move from one pool to another.
 *
 * @public
 */
export interface PoolMove {
	readonly from: PoolId
	readonly to: PoolId
}
