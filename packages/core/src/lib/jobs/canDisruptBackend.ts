import type { BackendRow } from './BackendRow.js'
import { countUnavailableSiblings } from './countUnavailableSiblings.js'

/**
 * Whether an order may end everything that runs on a backend server: for each lasting step that
 * promises it, no more tasks would be away than the step allows.
 *
 * @public
 */
export function canDisruptBackend(backend: BackendRow): boolean {
	const endedHere = new Map<string, number>()
	for (const task of backend.tasks.values()) {
		const { mayMiss } = task.step
		// A task that has just been started may be at work before a listing shows it.
		if (mayMiss === undefined) continue
		const key = `${task.job.job.id}.${task.occurrence}.${task.stepNumber}`
		const before = endedHere.get(key) ?? 0
		if (countUnavailableSiblings(task) + before >= mayMiss) return false
		endedHere.set(key, before + 1)
	}
	return true
}
