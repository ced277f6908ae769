import type { Job } from '../Job.js'
import { EstimatedRunTimes } from '../lookahead/EstimatedRunTimes.js'
import type { RunTimes } from '../lookahead/RunTimes.js'

/**
 * Returns the expected work of one occurrence of a job, in core-milliseconds. Lasting and best-effort
 * steps do not count.
 *
 * @public
 */
export function getJobWork(job: Job, runTimes: RunTimes = new EstimatedRunTimes()): number {
	let work = 0
	for (const step of job.steps) {
		if (step.lasting || step.fills) continue
		work += step.count * (step.needs.cpu / 1_000) * runTimes.getRunTime(job, step)
	}
	return work
}
