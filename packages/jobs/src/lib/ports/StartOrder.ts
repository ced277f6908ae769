import type { TaskId } from '@mastichead/core'

/**
 * Order to start an attempt of a task.
 *
 * @public
 */
export interface StartOrder {
	readonly task: TaskId
	readonly attempt: number
	/** Text of the job for its tasks. */
	readonly specification: string
	/** End of the lease on the backend server's clock, in milliseconds. */
	readonly leaseEnd: number
	/** Fencing token of the owner. */
	readonly token: number
	/** Checkpoint to resume from; empty for none. */
	readonly checkpoint: string
}
