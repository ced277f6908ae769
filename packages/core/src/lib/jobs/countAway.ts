import type { TaskRow } from './TaskRow.js'
import { isAtWork } from './isAtWork.js'

/**
 * Other tasks of a lasting task's step that are not at work.
 *
 * @public
 */
export function countAway(task: TaskRow): number {
	let away = 0
	for (const member of task.job.tasks) {
		if (member === task || member.stepNumber !== task.stepNumber) continue
		if (member.occurrence !== task.occurrence) continue
		if (!isAtWork(member)) away += 1
	}
	return away
}
