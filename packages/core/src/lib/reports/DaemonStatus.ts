import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TeamLoadStatus } from './TeamLoadStatus.js'

/**
 * Status of one daemon as the reporting daemon sees it.
 *
 * @public
 */
export interface DaemonStatus {
	readonly instance: InstanceId
	readonly availabilityZone: AvailabilityZoneId
	/** Where the row comes from: the daemon itself, its digest, or only its membership in the log. */
	readonly source: 'self' | 'digest' | 'log'
	/** Whether its last digest is recent enough for its load to be counted. */
	readonly reachable: boolean
	/** Age of its last digest; absent if none was received. */
	readonly ageMilliseconds?: Milliseconds | undefined
	/** Last log offset that it has folded; -1 if unknown. */
	readonly offset: number
	/** Version of the fleet document in force at the daemon; 0 if unknown. */
	readonly version: number
	/** Time since the platform's log last answered it; absent if unknown. */
	readonly logAgeMilliseconds?: Milliseconds | undefined
	readonly leaving: boolean
	readonly teams: readonly TeamLoadStatus[]
}
