import type { Milliseconds, QueueId, TeamId, Verdict } from '@mastichead/core'

/**
 * What is recorded of one request once it ended.
 *
 * @public
 */
export interface RequestMeasurement {
	readonly team: TeamId
	readonly queue: QueueId
	readonly verdict: Verdict
	/** Time in the queue. */
	readonly waitMilliseconds: Milliseconds
	/** Time at a backend server; absent when the request was not sent to one. */
	readonly serviceMilliseconds?: Milliseconds | undefined
	/** Time from acceptance to the end of the answer. */
	readonly totalMilliseconds: Milliseconds
}
