import type { TaskRow } from '../TaskRow.js'
import { isTaskAvailable } from './isTaskAvailable.js'

/**
 * Counts the other tasks of a lasting task's step and occurrence that are not available.
 *
 * @param isCounted - selects the siblings to count; all of them by default
 * @public
 */
export function countUnavailableSiblings(
	task: TaskRow,
	isCounted: (sibling: TaskRow) => boolean = () => true
): number {
	let unavailable = 0
	for (const sibling of task.job.tasks) {
		if (sibling === task || sibling.stepNumber !== task.stepNumber) continue
		if (sibling.occurrence !== task.occurrence) continue
		if (!isTaskAvailable(sibling) && isCounted(sibling)) unavailable += 1
	}
	return unavailable
}
