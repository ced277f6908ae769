import type { TaskRow } from '@mastichead/core'
import type { RunListing } from '../../ports/RunListing.js'

/**
 * Whether a listed end completes a task whose run was given up before, because its server was silent.
 * It does unless a start order for a later attempt may have been sent: then that attempt decides.
 *
 * @internal
 */
export function completesTask(task: TaskRow, end: RunListing['ended'][number]): boolean {
	if (end.ending !== 'done' || task.step.lasting || end.attempt > task.attempt) return false
	if (task.phase === 'pending') return true
	return task.phase === 'placed' && task.orderState === 'recorded' && end.attempt < task.attempt
}
