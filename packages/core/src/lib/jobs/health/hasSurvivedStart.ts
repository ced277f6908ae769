import type { TaskRow } from '../TaskRow.js'
import { getProbationTime } from './getProbationTime.js'
import { getRunAge } from './getRunAge.js'

/**
 * Whether the current run of a task has lasted so long that its start does not crash the backend server.
 *
 * @public
 */
export function hasSurvivedStart(task: TaskRow): boolean {
	return getRunAge(task) >= getProbationTime(task.crashes)
}
