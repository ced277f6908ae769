import type { Fleet } from '@mastichead/core'

/**
 * The fleet document in force, as `GET /v1/fleet` returns it.
 *
 * @internal
 */
export interface FleetResponse {
	readonly version: number
	readonly fleet: Fleet
}
