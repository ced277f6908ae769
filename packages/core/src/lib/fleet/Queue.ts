import type { PoolId } from '../ids/PoolId.js'
import type { QueueId } from '../ids/QueueId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { Urgency } from './Urgency.js'

/**
 * A queue that callers send requests to.
 *
 * @public
 */
export interface Queue {
	readonly name: QueueId
	readonly pool: PoolId
	/** Teams that may use the queue; absent if every team may. */
	readonly teams?: readonly TeamId[] | undefined
	/** Team that requests without a key are attributed to; absent if a key is required. */
	readonly openTeam?: TeamId | undefined
	readonly urgency: Urgency
	/** Maximum time from acceptance to the start of the answer. */
	readonly timeoutMilliseconds: Milliseconds
	/** Maximum run time on a backend server. */
	readonly runMilliseconds: Milliseconds
	/** Maximum number of requests that wait at one entry instance. */
	readonly maximumQueued: number
}
