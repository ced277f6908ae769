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
	/** `host:port` of its HTTP port. */
	readonly address: string
	/** Pool that it starts in; moves change the pool it is in now. */
	readonly pool: PoolId
	/** Requests that it runs at once. */
	readonly slots: number
	/** Connections that it accepts from all entry instances together. */
	readonly connections: number
}
