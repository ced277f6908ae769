import type { BackendServerId, InstanceId } from '@mastichead/core'

/**
 * What maintenance asks of the digests of peers.
 *
 * @public
 */
export interface MaintenancePeers {
	/** Incarnations heard lately that have folded the log up to `offset`. */
	getCurrentInstances(offset: number): readonly InstanceId[]
	/** Whether an incarnation said, having folded `offset`, that nothing of it runs at a draining server. */
	isDrainedAt(instance: InstanceId, server: BackendServerId, offset: number): boolean
	/** Requests that the peers run at a backend server. */
	getPeerRunning(server: BackendServerId): number
}
