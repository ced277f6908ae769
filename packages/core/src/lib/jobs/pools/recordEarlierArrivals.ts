import type { DemandMeter } from './DemandMeter.js'
import type { FleetConfiguration } from '../FleetConfiguration.js'
import type { Job } from '../Job.js'
import type { RunTimes } from '../lookahead/RunTimes.js'
import { getJobWork } from '../work/getJobWork.js'
import { getQueueRules } from '../getQueueRules.js'

/** Age from which a job no longer counts as arriving, in milliseconds. */
const MAXIMUM_AGE = 10_000

/**
 * Records the work of jobs that arrived before the meter was created, so that a new owner knows the
 * demand at once.
 *
 * @param now - time on the owner's monotonic clock, in milliseconds
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function recordEarlierArrivals(
	demand: DemandMeter,
	jobs: Iterable<Job>,
	configuration: FleetConfiguration,
	now: number,
	wallTime: number,
	runTimes?: RunTimes
): void {
	for (const job of jobs) {
		const age = wallTime - job.acceptedAt
		const service = getQueueRules(job, configuration)?.service
		if (service === undefined || age > MAXIMUM_AGE) continue
		demand.recordArrival(service, getJobWork(job, runTimes), now, age)
	}
}
