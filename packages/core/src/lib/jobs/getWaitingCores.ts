import type { StepRun } from './StepRun.js'

const MILLICORES = 1_000

/**
 * Cores that the waiting tasks of a step would use if all ran now.
 *
 * @public
 */
export function getWaitingCores(run: StepRun): number {
	if (run.step.fills) return 0
	const waiting = run.waiting.filter((task) => task.phase === 'pending')
	return (run.step.needs.cpu / MILLICORES) * waiting.length
}
