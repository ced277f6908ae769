import type { Milliseconds } from '@mastichead/core'

/**
 * Mean demand on a queue that has a pool of its own.
 *
 * @internal
 */
export interface QueueDemand {
	readonly queue: string
	/** Slots that its mean demand fills. */
	readonly meanSlots: number
	readonly meanRunTime: Milliseconds
	/** Longest wait; a request that would wait longer is late. */
	readonly timeout: Milliseconds
	/** Whether its pool is the spare. */
	readonly spare: boolean
}
