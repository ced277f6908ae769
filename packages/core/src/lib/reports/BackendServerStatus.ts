import type { Health } from '../health/Health.js'
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'

/**
 * One backend server that is not in service.
 *
 * @public
 */
export interface BackendServerStatus {
	readonly backendServer: BackendServerId
	readonly availabilityZone: AvailabilityZoneId
	readonly pool: PoolId
	readonly health: Health
	/** What is under way with it, such as `draining for wave spring`. */
	readonly activity: string
}
