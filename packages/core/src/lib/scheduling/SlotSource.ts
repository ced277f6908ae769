import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Gives slots of backend servers.
 *
 * @public
 */
export abstract class SlotSource {
	/** Slots of a pool's backend servers in service. */
	abstract getCapacity(pool: PoolId): number

	/**
	 * Reserves a slot at a backend server of the pool for a request of the team.
	 *
	 * @returns undefined when none may be used now
	 */
	abstract reserve(pool: PoolId, team: TeamId): BackendServerId | undefined

	/** Gives back a slot for which no request was started. */
	abstract release(server: BackendServerId, pool: PoolId, team: TeamId): void
}
