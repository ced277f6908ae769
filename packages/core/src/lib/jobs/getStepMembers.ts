import type { TaskRow } from './TaskRow.js'

/**
 * Returns all tasks of a task's step and occurrence, itself included.
 *
 * @public
 */
export function getStepMembers({ job, stepNumber, occurrence }: TaskRow): readonly TaskRow[] {
	return job.tasks.filter(
		(task) => task.stepNumber === stepNumber && task.occurrence === occurrence
	)
}
