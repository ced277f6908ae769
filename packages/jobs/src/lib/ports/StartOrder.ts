import type { TaskId } from '@mastichead/core'

/**
 * Order to start an attempt of a task.
 *
 * @public
 */
export interface StartOrder {
	readonly task: TaskId
	readonly attempt: number
	/** The job's specification, which is passed to its tasks unchanged. */
	readonly specification: string
	/** End of the lease on the backend server's clock, in milliseconds. */
	readonly leaseEnd: number
	/** Fencing token of the owner. */
	readonly token: number
	/** Checkpoint to resume from; empty for none. */
	readonly checkpoint: string
}
