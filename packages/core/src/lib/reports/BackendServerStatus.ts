import type { Health } from '../health/Health.js'
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'

/**
 * Status of a backend server that is out of service.
 *
 * @public
 */
export interface BackendServerStatus {
	readonly backendServer: BackendServerId
	readonly availabilityZone: AvailabilityZoneId
	readonly pool: PoolId
	readonly health: Health
	/** Its current activity, such as `draining for wave spring`. */
	readonly activity: string
}
