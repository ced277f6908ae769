import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'

/**
 * Status of one availability zone.
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
