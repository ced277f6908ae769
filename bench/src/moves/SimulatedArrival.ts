import type { Milliseconds } from '@mastichead/core'

/**
 * Request that arrives during a move simulation.
 *
 * @internal
 */
export interface SimulatedArrival {
	readonly at: Milliseconds
	/** Actual run time. */
	readonly runTime: Milliseconds
	/** Run time that the caller declares. */
	readonly declaredRunTime: Milliseconds
	/** Whether any backend server can run it. */
	readonly isRunnable: boolean
	/** When the caller cancels the request, if it still waits. */
	readonly cancelledAt: Milliseconds
}
