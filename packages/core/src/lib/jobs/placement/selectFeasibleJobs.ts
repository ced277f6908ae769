import type { RemainingWork } from '../work/RemainingWork.js'
import type { ServiceLoad } from '../pools/ServiceLoad.js'

/**
 * Share of its critical path by which a job may be expected to start after its latest start. The
 * expected start is when all earlier work is done, but cores become free one after the other before.
 */
const START_TOLERANCE = 0.25

/**
 * Selects the jobs that can all finish on time on a service's backend servers. Adds jobs by latest
 * start; when the work selected so far would make a job late, drops the job with the most pending work
 * if that helps, like the Moore-Hodgson algorithm. Under overload this keeps as many jobs as possible
 * on time, while earliest due time first would make all of them late.
 *
 * @param jobs - all jobs of the service with unfinished tasks, also those without a ready step
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function selectFeasibleJobs(
	jobs: readonly RemainingWork[],
	load: Omit<ServiceLoad, 'blockedJobs' | 'placedWorkByTeam'>,
	wallTime: number
): Set<RemainingWork> {
	const { cores, arrivingMachines, placedCores, placedWork } = load
	const selected = new Set<RemainingWork>()
	// Placed tasks are not interrupted, so their work comes first even if their jobs are late.
	let earlierWork = placedWork
	let earlierCores = placedCores
	const getCapacityUntil = (time: number): number => {
		const duration = time - wallTime
		const arrivedDuration = Math.max(0, duration - arrivingMachines.delay)
		return cores * duration + arrivingMachines.cores * arrivedDuration
	}
	const isOnTime = (job: RemainingWork): boolean => {
		if (earlierWork + job.pendingWork > getCapacityUntil(job.dueAt)) return false
		const hasRoom = earlierCores + job.readyCores <= cores
		return (
			hasRoom ||
			earlierWork <= getCapacityUntil(getLatestStart(job) + START_TOLERANCE * job.criticalPath)
		)
	}
	for (const job of jobs.toSorted((a, b) => getLatestStart(a) - getLatestStart(b))) {
		if (wallTime + job.criticalPath > job.dueAt) continue
		if (!isOnTime(job)) {
			const largest = getLargest(selected)
			if (!largest || largest.pendingWork <= job.pendingWork) continue
			earlierWork -= largest.pendingWork
			earlierCores -= largest.readyCores
			if (!isOnTime(job)) {
				earlierWork += largest.pendingWork
				earlierCores += largest.readyCores
				continue
			}
			selected.delete(largest)
		}
		selected.add(job)
		earlierWork += job.pendingWork
		earlierCores += job.readyCores
	}
	return selected
}

/** Returns the time by which a job's remaining tasks must start so that it finishes on time. */
function getLatestStart({ dueAt, criticalPath }: RemainingWork): number {
	return dueAt - criticalPath
}

function getLargest(jobs: ReadonlySet<RemainingWork>): RemainingWork | undefined {
	let largest: RemainingWork | undefined
	for (const job of jobs) {
		if (!largest || job.pendingWork > largest.pendingWork) largest = job
	}
	return largest
}
