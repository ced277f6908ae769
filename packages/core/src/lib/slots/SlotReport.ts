import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { SlotDemand } from './SlotDemand.js'
import type { SlotEnd } from './SlotEnd.js'
import type { SlotGrant } from './SlotGrant.js'

/**
 * Report of an entry instance to the owner of the slots of a pool.
 *
 * @public
 */
export interface SlotReport {
	readonly instance: InstanceId
	readonly pool: PoolId
	/** Waiting requests; replaces the demands of the previous report. */
	readonly demands: readonly SlotDemand[]
	/** Grants that ended since the previous report. */
	readonly ends: readonly SlotEnd[]
	/** All grants in use; set only in the first report to an owner, which may not know them. */
	readonly inUse?: readonly SlotGrant[] | undefined
}
