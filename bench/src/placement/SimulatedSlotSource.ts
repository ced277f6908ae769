import type { BackendServerId } from '@mastichead/core'

/**
 * Reserves slots of backend servers for one entry instance of a placement simulation.
 *
 * @internal
 */
export abstract class SimulatedSlotSource {
	/** Reserves a slot, or returns undefined if the request has to wait. */
	abstract reserve(excluded: ReadonlySet<BackendServerId>): BackendServerId | undefined

	/** Releases a slot; `full` means that the backend server refused the request. */
	abstract end(server: BackendServerId, result: 'success' | 'failure' | 'full'): void
}
