import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { RackId } from '../ids/RackId.js'

/**
 * A backend server as the fleet file declares it.
 *
 * @public
 */
export interface BackendServer {
	readonly name: BackendServerId
	readonly availabilityZone: AvailabilityZoneId
	readonly rack: RackId
	/** `host:port` of its HTTP interface. */
	readonly address: string
	/** Home pool; moves change its current pool, which is in `Placement`. */
	readonly pool: PoolId
	/** Maximum number of requests that it runs at once. */
	readonly slots: number
	/** Maximum number of connections from all entry instances together. */
	readonly connections: number
}
