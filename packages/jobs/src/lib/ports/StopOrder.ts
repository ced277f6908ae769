import type { TaskId } from '@mastichead/core'

/**
 * Order to stop an attempt of a task, and to refuse it if it comes later.
 *
 * @public
 */
export interface StopOrder {
	readonly task: TaskId
	readonly attempt: number
	readonly token: number
}
