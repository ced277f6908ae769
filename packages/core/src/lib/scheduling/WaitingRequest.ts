import type { Urgency } from '../fleet/Urgency.js'
import type { PoolId } from '../ids/PoolId.js'
import type { QueueId } from '../ids/QueueId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * A request that waits to be started.
 *
 * @public
 */
export interface WaitingRequest {
	/** Unique within the daemon. */
	readonly id: number
	readonly queue: QueueId
	readonly team: TeamId
	readonly pool: PoolId
	readonly urgency: Urgency
	readonly enqueuedAt: Milliseconds
	/** Time from which the request is too late to start. */
	readonly startDeadline: Milliseconds
}
