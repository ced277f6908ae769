import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'

/**
 * One availability zone.
 *
 * @public
 */
export interface ZoneStatus {
	readonly availabilityZone: AvailabilityZoneId
	readonly daemons: number
	readonly reachableDaemons: number
	readonly running: number
	readonly queued: number
}
