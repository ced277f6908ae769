import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { SlotDemand } from './SlotDemand.js'
import type { SlotEnd } from './SlotEnd.js'
import type { SlotGrant } from './SlotGrant.js'

/**
 * What an entry instance tells the owner of a pool's slots.
 *
 * @public
 */
export interface SlotReport {
	readonly instance: InstanceId
	readonly pool: PoolId
	/** Replaces the demands of the report before. */
	readonly demands: readonly SlotDemand[]
	/** Grants that ended since the report before. */
	readonly ends: readonly SlotEnd[]
	/** Every grant that is in use; set in the first report to an owner, which may be a new one. */
	readonly inUse?: readonly SlotGrant[] | undefined
}
