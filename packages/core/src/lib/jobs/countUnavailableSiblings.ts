import type { TaskRow } from './TaskRow.js'
import { isTaskAvailable } from './isTaskAvailable.js'

/**
 * Other tasks of a lasting task's step that are not at work.
 *
 * @public
 */
export function countUnavailableSiblings(task: TaskRow): number {
	let away = 0
	for (const member of task.job.tasks) {
		if (member === task || member.stepNumber !== task.stepNumber) continue
		if (member.occurrence !== task.occurrence) continue
		if (!isTaskAvailable(member)) away += 1
	}
	return away
}
