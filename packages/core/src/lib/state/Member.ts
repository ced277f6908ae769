import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * An entry instance that joined.
 *
 * @public
 */
export interface Member {
	readonly instance: InstanceId
	readonly availabilityZone: AvailabilityZoneId
	/** `host:port` of its peer port. */
	readonly peerAddress: string
	/** Offset of its join entry; tells two joins under one name apart. */
	readonly joinedOffset: number
	/** Platform clock of its last join or heartbeat. */
	readonly renewedAt: Milliseconds
	/** Whether only the floor of its allowances is left, until its next heartbeat. */
	readonly lapsed: boolean
	/** Its `renewedAt` when it last lapsed; absent before the first time. */
	readonly lapsedFrom?: Milliseconds | undefined
	/** Sequence of its last allowance proposal; 0 before the first. */
	readonly sequence: number
	/** Allowance that it holds by team; no row stands for 0. */
	readonly allowances: ReadonlyMap<TeamId, number>
}
