import type { CrashSuspicion } from './CrashSuspicion.js'
import type { TaskRow } from '../TaskRow.js'
import { MAXIMUM_CRASHES } from './maximumCrashes.js'

/**
 * Records that a backend server has crashed, and that a task may have caused it. Returns whether the task
 * is given up for it.
 *
 * @internal
 */
export function recordCrash(task: TaskRow, suspicion: CrashSuspicion): boolean {
	task.isSuspected = true
	if (suspicion === 'unconfirmed') return false
	task.crashes += 1
	return suspicion === 'sole' && task.crashes >= MAXIMUM_CRASHES
}
