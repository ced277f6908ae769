import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServer } from './BackendServer.js'
import type { Pool } from './Pool.js'
import type { Queue } from './Queue.js'
import type { TablePatch } from './TablePatch.js'
import type { Team } from './Team.js'

/**
 * The changes from one fleet document to the next.
 *
 * @public
 */
export interface FleetPatch {
	readonly name: string
	readonly availabilityZones: readonly AvailabilityZoneId[]
	readonly pools: TablePatch<Pool>
	readonly queues: TablePatch<Queue>
	readonly teams: TablePatch<Team>
	readonly backendServers: TablePatch<BackendServer>
}
