import type { BackendServerId, InstanceId } from '@mastichead/core'

/**
 * The part of the peer digests that maintenance uses.
 *
 * @public
 */
export interface MaintenancePeers {
	/** Returns the reachable incarnations that have folded the log up to `offset` and are not leaving. */
	getCurrentInstances(offset: number): readonly InstanceId[]
	/**
	 * Whether an incarnation, having folded `offset`, reported that it runs no request at a draining
	 * backend server.
	 */
	isDrainedAt(instance: InstanceId, server: BackendServerId, offset: number): boolean
	/** Returns the number of requests that the reachable peers run at a backend server. */
	getPeerRunningCount(server: BackendServerId): number
}
