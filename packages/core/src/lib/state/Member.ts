import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * An entry instance that has joined, with its lease and its allowances.
 *
 * @public
 */
export interface Member {
	readonly instance: InstanceId
	readonly availabilityZone: AvailabilityZoneId
	/** `host:port` of its listener for peers. */
	readonly peerAddress: string
	/** Offset of its join entry; distinguishes two joins under the same name. */
	readonly joinedOffset: number
	/** Platform clock of its join or last heartbeat. */
	readonly renewedAt: Milliseconds
	/** Whether its lease has lapsed, which left it the floor of its allowances; false after a heartbeat. */
	readonly lapsed: boolean
	/** Its `renewedAt` at the last lapse; absent before the first. */
	readonly lapsedFrom?: Milliseconds | undefined
	/** Sequence of its last allowance proposal; 0 before the first. */
	readonly sequence: number
	/** Allowance by team, in units; 0 for a team without a row. */
	readonly allowances: ReadonlyMap<TeamId, number>
}
