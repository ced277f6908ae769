import type { BackendServerId } from '@mastichead/core'

/**
 * What one entry instance tells the others.
 *
 * @internal
 */
export interface SimulatedDigest {
	readonly from: number
	readonly running: ReadonlyMap<BackendServerId, number>
	readonly ejected: ReadonlySet<BackendServerId>
}
