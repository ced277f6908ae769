import type { Milliseconds, QueueId, TeamId, Verdict } from '@mastichead/core'

/**
 * Measurements of a finished request.
 *
 * @public
 */
export interface RequestMeasurement {
	readonly team: TeamId
	readonly queue: QueueId
	readonly verdict: Verdict
	/** Time from acceptance to the first attempt, or to the end if there was none. */
	readonly waitMilliseconds: Milliseconds
	/** Time from the first attempt to the end; undefined if no attempt was made. */
	readonly serviceMilliseconds?: Milliseconds | undefined
	/** Time from acceptance to the end of the response. */
	readonly totalMilliseconds: Milliseconds
}
