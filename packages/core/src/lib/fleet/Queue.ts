import type { PoolId } from '../ids/PoolId.js'
import type { QueueId } from '../ids/QueueId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { Urgency } from './Urgency.js'

/**
 * A queue that callers post requests to.
 *
 * @public
 */
export interface Queue {
	readonly name: QueueId
	readonly pool: PoolId
	/** Teams that may use it; absent for every team. */
	readonly teams?: readonly TeamId[] | undefined
	/** Whether callers without a key are served, on behalf of `openTeam`. */
	readonly openTeam?: TeamId | undefined
	readonly urgency: Urgency
	/** Longest time from acceptance to the start of the answer. */
	readonly timeoutMilliseconds: Milliseconds
	/** Longest run on a backend server. */
	readonly runMilliseconds: Milliseconds
	/** Requests that may wait at one entry instance. */
	readonly maximumQueued: number
}
