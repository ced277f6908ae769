import type { Milliseconds } from '@mastichead/core'

/**
 * A request to come.
 *
 * @internal
 */
export interface SimulatedArrival {
	readonly at: Milliseconds
	/** Time that it truly takes. */
	readonly runTime: Milliseconds
	/** Time that its caller declares. */
	readonly declaredRunTime: Milliseconds
	readonly isRunnable: boolean
	/** When its caller gives up, if it still waits. */
	readonly cancelledAt: Milliseconds
}
