import type { Milliseconds } from '@mastichead/core'

/**
 * One request of a placement run.
 *
 * @internal
 */
export interface SimulatedRequest {
	/** Instant of arrival. */
	readonly at: Milliseconds
	/** Index of the entry instance that gets it. */
	readonly entry: number
	/** Run time at a backend server. */
	readonly serviceTime: Milliseconds
}
