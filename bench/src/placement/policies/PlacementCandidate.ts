import type { AvailabilityZoneId } from '@mastichead/core'
import type { BackendServerId } from '@mastichead/core'

/**
 * A backend server that may get new work, as one entry instance sees it.
 *
 * @internal
 */
export interface PlacementCandidate {
	readonly name: BackendServerId
	readonly availabilityZone: AvailabilityZoneId
	/** Requests that it runs at once. */
	readonly slots: number
	/** Requests of this entry instance that run there now. */
	readonly running: number
	/** Requests of the other entry instances that run there, by their last digests. */
	readonly peerRunning: number
	/** Connections that this entry instance may still use there, idle ones included. */
	readonly freeConnections: number
}
