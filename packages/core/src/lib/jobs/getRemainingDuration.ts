import type { TaskRow } from './TaskRow.js'
import { defaultEstimate } from './defaultEstimate.js'

/** Share of a placed task's estimate that is assumed to remain. */
const PLACED_TASK_REMAINDER = 0.5

/**
 * Estimates how long an unfinished task still runs once it is placed, in milliseconds.
 *
 * @public
 */
export function getRemainingDuration({ step, phase }: TaskRow): number {
	return (step.estimate || defaultEstimate) * (phase === 'placed' ? PLACED_TASK_REMAINDER : 1)
}
