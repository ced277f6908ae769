import type { Urgency } from '../fleet/Urgency.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Grants a slot of a backend server to an entry instance, for one request of a team.
 *
 * @public
 */
export interface SlotGrant {
	/** Unique among the grants of all owners. */
	readonly id: string
	readonly instance: InstanceId
	readonly pool: PoolId
	readonly server: BackendServerId
	readonly team: TeamId
	readonly urgency: Urgency
}
