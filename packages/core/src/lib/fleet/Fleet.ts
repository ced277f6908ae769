import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServer } from './BackendServer.js'
import type { Pool } from './Pool.js'
import type { Queue } from './Queue.js'
import type { Team } from './Team.js'

/**
 * The complete fleet document.
 *
 * @public
 */
export interface Fleet {
	readonly name: string
	readonly availabilityZones: readonly AvailabilityZoneId[]
	readonly pools: readonly Pool[]
	readonly queues: readonly Queue[]
	readonly teams: readonly Team[]
	readonly backendServers: readonly BackendServer[]
}
