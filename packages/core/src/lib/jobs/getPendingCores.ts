import type { ReadyStep } from './ReadyStep.js'

const MILLICORES_PER_CORE = 1_000

/**
 * Cores that the waiting tasks of a step would use if all ran now.
 *
 * @public
 */
export function getPendingCores(run: ReadyStep): number {
	if (run.step.fills) return 0
	const waiting = run.pending.filter((task) => task.phase === 'pending')
	return (run.step.needs.cpu / MILLICORES_PER_CORE) * waiting.length
}
