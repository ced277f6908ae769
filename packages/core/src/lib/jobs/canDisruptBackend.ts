import type { BackendRow } from './BackendRow.js'
import { countUnavailableSiblings } from './countUnavailableSiblings.js'

/**
 * Whether all tasks on a backend server may be stopped: no lasting step would have more unavailable
 * tasks than its `mayMiss` allows.
 *
 * @public
 */
export function canDisruptBackend(backend: BackendRow): boolean {
	const stoppedByStep = new Map<string, number>()
	for (const task of backend.tasks.values()) {
		const { mayMiss } = task.step
		// Tasks that do not count as available are included: a task that has just started may be
		// available before a listing shows it.
		if (mayMiss === undefined) continue
		const key = `${task.job.job.id}.${task.occurrence}.${task.stepNumber}`
		const stopped = stoppedByStep.get(key) ?? 0
		if (countUnavailableSiblings(task) + stopped >= mayMiss) return false
		stoppedByStep.set(key, stopped + 1)
	}
	return true
}
