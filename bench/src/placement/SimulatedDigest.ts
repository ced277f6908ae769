import type { BackendServerId } from '@mastichead/core'

/**
 * Load and ejections that one entry instance sends to its peers.
 *
 * @internal
 */
export interface SimulatedDigest {
	/** Index of the sending entry instance. */
	readonly from: number
	readonly running: ReadonlyMap<BackendServerId, number>
	readonly ejected: ReadonlySet<BackendServerId>
}
