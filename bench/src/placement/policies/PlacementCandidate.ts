import type { AvailabilityZoneId } from '@mastichead/core'
import type { BackendServerId } from '@mastichead/core'

/**
 * Backend server that may receive a request, as one entry instance sees it.
 *
 * @internal
 */
export interface PlacementCandidate {
	readonly name: BackendServerId
	readonly availabilityZone: AvailabilityZoneId
	/** Requests that it can run at once. */
	readonly slots: number
	/** Running requests of this entry instance. */
	readonly running: number
	/** Running requests of the other entry instances, by their last digests. */
	readonly peerRunning: number
	/** Connections that this entry instance can still use, idle ones included. */
	readonly freeConnections: number
}
