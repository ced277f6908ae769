import type { Fleet } from '@mastichead/core'

/**
 * The fleet document in force, as daemons give it.
 *
 * @internal
 */
export interface FleetResponse {
	readonly version: number
	readonly fleet: Fleet
}
