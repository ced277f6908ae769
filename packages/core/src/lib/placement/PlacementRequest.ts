import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { PlacementCandidate } from './PlacementCandidate.js'

/**
 * Asks for a backend server for one request.
 *
 * @public
 */
export interface PlacementRequest {
	/** Zone of this entry instance. */
	readonly availabilityZone: AvailabilityZoneId
	readonly instance: InstanceId
	/** Live entry instances of this zone, this one included. */
	readonly zoneInstances: readonly InstanceId[]
	/** Backend servers that the request must not go to again. */
	readonly excluded: ReadonlySet<BackendServerId>
	readonly candidates: readonly PlacementCandidate[]
}
