import type { TaskRow } from './TaskRow.js'
import { isTaskAvailable } from './isTaskAvailable.js'

/**
 * Counts the other tasks of a lasting task's step and occurrence that are not available.
 *
 * @public
 */
export function countUnavailableSiblings(task: TaskRow): number {
	let unavailable = 0
	for (const sibling of task.job.tasks) {
		if (sibling === task || sibling.stepNumber !== task.stepNumber) continue
		if (sibling.occurrence !== task.occurrence) continue
		if (!isTaskAvailable(sibling)) unavailable += 1
	}
	return unavailable
}
