import type { BackendRow } from './BackendRow.js'
import type { TaskRow } from './TaskRow.js'

/**
 * Whether an order may end everything that runs on a backend server: for each lasting step that
 * promises it, no more tasks would be away than the step allows.
 *
 * @public
 */
export function mayInterrupt(backend: BackendRow): boolean {
	const endedHere = new Map<string, number>()
	for (const task of backend.tasks.values()) {
		const { mayMiss } = task.step
		if (mayMiss === undefined || task.atWorkSince === undefined) continue
		const key = `${task.job.job.id}.${task.occurrence}.${task.stepNumber}`
		const before = endedHere.get(key) ?? 0
		if (countAway(task, backend) + before >= mayMiss) return false
		endedHere.set(key, before + 1)
	}
	return true
}

/** Members of the task's step, on other backend servers, that are not fully at work. */
function countAway(task: TaskRow, backend: BackendRow): number {
	let away = 0
	for (const member of task.job.tasks) {
		if (member.stepNumber !== task.stepNumber || member.occurrence !== task.occurrence) continue
		if (member.backend === backend.id && member.atWorkSince !== undefined) continue
		if (member.atWorkSince === undefined) away += 1
	}
	return away
}
