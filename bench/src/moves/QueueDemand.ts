import type { Milliseconds } from '@mastichead/core'

/**
 * Mean demand on a queue that has its own pool.
 *
 * @internal
 */
export interface QueueDemand {
	readonly queue: string
	/** Mean demand in slots. */
	readonly meanSlots: number
	readonly meanRunTime: Milliseconds
	/** Longest wait. A request that waits longer is dropped and counts as late. */
	readonly timeout: Milliseconds
	/** Whether its pool is the spare pool of the group. */
	readonly spare: boolean
}
