import type { BackendServerId, InstanceId } from '@mastichead/core'

/**
 * The part of the peer digests that maintenance uses.
 *
 * @public
 */
export interface MaintenancePeers {
	/** Returns the reachable, not leaving incarnations that have applied the log up to `offset`. */
	getCurrentInstances(offset: number): readonly InstanceId[]
	/** Whether an incarnation that applied `offset` reported that it runs nothing at a draining server. */
	isDrainedAt(instance: InstanceId, server: BackendServerId, offset: number): boolean
	/** Returns the number of requests that peers run at a backend server. */
	getPeerRunning(server: BackendServerId): number
}
