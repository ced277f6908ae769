import type { TaskId } from '@mastichead/core'

/**
 * Order to stop an attempt of a task, and to refuse its start order if that arrives later.
 *
 * @public
 */
export interface StopOrder {
	readonly task: TaskId
	readonly attempt: number
	/** Fencing token of the owner. */
	readonly token: number
}
