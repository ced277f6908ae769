import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TeamLoadStatus } from './TeamLoadStatus.js'

/**
 * What is known of one daemon.
 *
 * @public
 */
export interface DaemonStatus {
	readonly instance: InstanceId
	readonly availabilityZone: AvailabilityZoneId
	/** Whether it spoke for itself, was heard of by a digest, or is only a member in the log. */
	readonly source: 'self' | 'digest' | 'log'
	/** Whether its last word is recent enough to count. */
	readonly reachable: boolean
	/** Age of its last word; absent when there was none. */
	readonly ageMilliseconds?: Milliseconds | undefined
	/** Offset that it has folded; -1 when unknown. */
	readonly offset: number
	/** Version of the fleet document in force there; 0 when unknown. */
	readonly version: number
	/** Age of the last answer that it had from the platform's log; absent when unknown. */
	readonly logAgeMilliseconds?: Milliseconds | undefined
	readonly leaving: boolean
	readonly teams: readonly TeamLoadStatus[]
}
