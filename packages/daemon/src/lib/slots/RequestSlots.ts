import {
	type BackendServerId,
	type PoolId,
	SlotSource,
	type SlotEnd,
	type TeamId,
} from '@mastichead/core'

/**
 * Slots of backend servers as requests use them.
 *
 * @public
 */
export abstract class RequestSlots extends SlotSource {
	/** Ends the use of a slot once its request can run no more. */
	abstract endUse(
		use: { readonly pool: PoolId; readonly team: TeamId; readonly server: BackendServerId },
		result: SlotEnd['result']
	): void

	/** Notes that requests of a pool came, ended or wait again. */
	abstract notifyChange(pool: PoolId): void
}
