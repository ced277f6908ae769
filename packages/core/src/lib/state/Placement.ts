import type { PoolId } from '../ids/PoolId.js'
import type { WaveId } from '../ids/WaveId.js'

/**
 * The pool that a backend server is in, and what is under way with it.
 *
 * @public
 */
export interface Placement {
	readonly pool: PoolId
	readonly health: 'healthy' | 'failed'
	readonly activity:
		| { readonly type: 'serving' }
		| { readonly type: 'draining'; readonly reason: 'operator' }
		| { readonly type: 'draining'; readonly reason: 'move'; readonly to: PoolId }
		| { readonly type: 'draining'; readonly reason: 'wave'; readonly wave: WaveId }
		| { readonly type: 'joining'; readonly from: PoolId }
		| { readonly type: 'maintenance'; readonly wave: WaveId }
}
