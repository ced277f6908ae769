import type { Milliseconds } from '@mastichead/core'

/**
 * Request of a placement simulation.
 *
 * @internal
 */
export interface SimulatedRequest {
	/** Time of arrival. */
	readonly at: Milliseconds
	/** Index of the entry instance that receives it. */
	readonly entry: number
	/** Run time at a backend server. */
	readonly serviceTime: Milliseconds
}
