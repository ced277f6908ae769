import type { AvailabilityZoneId } from '@mastichead/core'
import type { BackendServerId } from '@mastichead/core'
import type { InstanceId } from '@mastichead/core'
import type { PlacementCandidate } from './PlacementCandidate.js'

/**
 * Input of a placement policy for one request.
 *
 * @internal
 */
export interface PlacementRequest {
	/** Zone of this entry instance. */
	readonly availabilityZone: AvailabilityZoneId
	readonly instance: InstanceId
	/** Live entry instances of this zone, this one included. */
	readonly zoneInstances: readonly InstanceId[]
	/** Backend servers that the request must not be sent to again. */
	readonly excluded: ReadonlySet<BackendServerId>
	readonly candidates: readonly PlacementCandidate[]
}
