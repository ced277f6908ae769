import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { ActivityStart } from './ActivityStart.js'

/**
 * The pool, health and activity of a backend server.
 *
 * @public
 */
export interface Placement {
	readonly pool: PoolId
	/** Health as of the last health report; `HealthView` returns the current one. */
	readonly health: 'healthy' | 'failed'
	/** Entry instances that report it as failed; absent if there are none. */
	readonly reports?: readonly InstanceId[] | undefined
	/** Start of the activity; absent if the backend server has served since its document was applied. */
	readonly since?: ActivityStart | undefined
	readonly activity:
		| { readonly type: 'serving' }
		| { readonly type: 'draining'; readonly reason: 'operator' }
		| { readonly type: 'draining'; readonly reason: 'move'; readonly to: PoolId }
		| { readonly type: 'draining'; readonly reason: 'wave'; readonly wave: WaveId }
		| { readonly type: 'joining'; readonly from: PoolId }
		| { readonly type: 'maintenance'; readonly wave: WaveId }
}
