import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Hands out slots of backend servers.
 *
 * @public
 */
export abstract class SlotSource {
	/** Returns the total slots of a pool's backend servers in service. */
	abstract getCapacity(pool: PoolId): number

	/**
	 * Reserves a slot on a backend server of the pool for a request of the team.
	 *
	 * @returns the backend server, or undefined if no slot is available now
	 */
	abstract reserve(pool: PoolId, team: TeamId): BackendServerId | undefined

	/** Returns a reserved slot for which no request was started. */
	abstract release(server: BackendServerId, pool: PoolId, team: TeamId): void
}
