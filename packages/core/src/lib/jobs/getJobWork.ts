import type { Job } from './Job.js'
import { defaultEstimate } from './defaultEstimate.js'

/**
 * Returns the expected work of one occurrence of a job, in core-milliseconds. Lasting and best-effort
 * steps do not count.
 *
 * @public
 */
export function getJobWork(job: Job): number {
	let work = 0
	for (const step of job.steps) {
		if (step.lasting || step.fills) continue
		work += step.count * (step.needs.cpu / 1_000) * (step.estimate || defaultEstimate)
	}
	return work
}
