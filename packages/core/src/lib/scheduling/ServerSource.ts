import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'

/**
 * Gives slots of backend servers.
 *
 * @public
 */
export abstract class ServerSource {
	/** Slots of a pool's backend servers in service. */
	abstract getCapacity(pool: PoolId): number

	/** Reserves a slot at a backend server of the pool, or undefined when none seems free. */
	abstract reserve(pool: PoolId): BackendServerId | undefined

	/** Gives back a slot for which no request was started. */
	abstract release(server: BackendServerId): void
}
