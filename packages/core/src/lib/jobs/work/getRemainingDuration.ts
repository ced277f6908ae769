import type { TaskRow } from '../TaskRow.js'
import { EstimatedRunTimes } from '../lookahead/EstimatedRunTimes.js'
import type { RunTimes } from '../lookahead/RunTimes.js'

/** Share of a placed task's run time that is assumed to remain. */
const PLACED_TASK_REMAINDER = 0.5

/**
 * Estimates how long an unfinished task still runs once it is placed, in milliseconds.
 *
 * @public
 */
export function getRemainingDuration(
	{ job, step, phase }: TaskRow,
	runTimes: RunTimes = new EstimatedRunTimes()
): number {
	return runTimes.getRunTime(job.job, step) * (phase === 'placed' ? PLACED_TASK_REMAINDER : 1)
}
