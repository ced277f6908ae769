import type { Fleet } from '@mastichead/core'

/**
 * The fleet document in force, as daemons give it.
 *
 * @internal
 */
export interface FleetAnswer {
	readonly version: number
	readonly fleet: Fleet
}
