import type { BackendRow } from '../BackendRow.js'
import type { TaskRow } from '../TaskRow.js'
import { countUnavailableSiblings } from './countUnavailableSiblings.js'

/**
 * Whether all tasks on a backend server may be stopped: no lasting step would have more unavailable
 * tasks than its `mayMiss` allows.
 *
 * @public
 */
export function canDisruptBackend(backend: BackendRow): boolean {
	const tasksByStep = new Map<string, TaskRow[]>()
	for (const task of backend.tasks.values()) {
		if (task.step.mayMiss === undefined) continue
		const key = `${task.job.job.id}.${task.occurrence}.${task.stepNumber}`
		const tasks = tasksByStep.get(key)
		if (tasks) tasks.push(task)
		else tasksByStep.set(key, [task])
	}
	return [...tasksByStep.values()].every((tasks) => canDisruptTogether(tasks, backend))
}

/**
 * Tasks that do not count as available are included: a task that has just started may be available
 * before a listing shows it.
 */
function canDisruptTogether(tasks: readonly TaskRow[], backend: BackendRow): boolean {
	const [first] = tasks
	if (first?.step.mayMiss === undefined) return true
	const isElsewhere = (sibling: TaskRow): boolean => sibling.backend !== backend.id
	return tasks.length + countUnavailableSiblings(first, isElsewhere) <= first.step.mayMiss
}
