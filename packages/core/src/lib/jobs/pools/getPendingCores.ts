import type { ReadyStep } from '../placement/ReadyStep.js'

const MILLICORES_PER_CORE = 1_000

/**
 * Returns the cores that a step's pending tasks would use if they all ran now.
 *
 * @public
 */
export function getPendingCores(readyStep: ReadyStep): number {
	if (readyStep.step.fills) return 0
	const pending = readyStep.pending.filter((task) => task.phase === 'pending')
	return (readyStep.step.needs.cpu / MILLICORES_PER_CORE) * pending.length
}
