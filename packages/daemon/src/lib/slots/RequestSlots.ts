import {
	type BackendServerId,
	type PoolId,
	SlotSource,
	type SlotEnd,
	type TeamId,
} from '@mastichead/core'

/**
 * Reserves slots of backend servers for requests.
 *
 * @public
 */
export abstract class RequestSlots extends SlotSource {
	/** Ends the use of a slot once its request can no longer run. */
	abstract endUse(
		use: { readonly pool: PoolId; readonly team: TeamId; readonly server: BackendServerId },
		result: SlotEnd['result']
	): void

	/** Must be called after a request of a pool arrives, ends or returns to its queue. */
	abstract notifyChange(pool: PoolId): void
}
