import type { BackendServerId } from '@mastichead/core'

/**
 * Gives the slots of backend servers to one entry instance of a placement run.
 *
 * @internal
 */
export abstract class SimulatedSlotSource {
	/** Reserves a slot; undefined when the request has to wait. */
	abstract reserve(excluded: ReadonlySet<BackendServerId>): BackendServerId | undefined

	/** Ends the use of a slot. */
	abstract end(server: BackendServerId, result: 'success' | 'failure' | 'full'): void
}
