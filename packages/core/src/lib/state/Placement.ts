import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { ActivityStart } from './ActivityStart.js'

/**
 * The pool that a backend server is in, and what is under way with it.
 *
 * @public
 */
export interface Placement {
	readonly pool: PoolId
	/** Verdict at the last health report; see `HealthView` for the one at this moment. */
	readonly health: 'healthy' | 'failed'
	/** Entry instances that report it as failed; absent for none. */
	readonly reports?: readonly InstanceId[] | undefined
	/** When the activity began; absent for one that began with the fleet document. */
	readonly since?: ActivityStart | undefined
	readonly activity:
		| { readonly type: 'serving' }
		| { readonly type: 'draining'; readonly reason: 'operator' }
		| { readonly type: 'draining'; readonly reason: 'move'; readonly to: PoolId }
		| { readonly type: 'draining'; readonly reason: 'wave'; readonly wave: WaveId }
		| { readonly type: 'joining'; readonly from: PoolId }
		| { readonly type: 'maintenance'; readonly wave: WaveId }
}
