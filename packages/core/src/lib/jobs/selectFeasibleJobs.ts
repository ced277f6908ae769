import type { RemainingWork } from './RemainingWork.js'

/**
 * Selects the jobs that can all finish on time on a pool. Adds jobs by due time; when the selected
 * work exceeds what the pool can do by a job's due time, drops the job with the most remaining work,
 * as the Moore-Hodgson algorithm does. Under overload this keeps as many jobs as possible on time,
 * while earliest due time first would make all of them late.
 *
 * @param cores - number of cores in the pool
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function selectFeasibleJobs(
	jobs: readonly RemainingWork[],
	cores: number,
	wallTime: number
): Set<RemainingWork> {
	const selected = new Set<RemainingWork>()
	if (cores <= 0) return selected
	let totalWork = 0
	for (const job of [...jobs].sort((a, b) => a.dueAt - b.dueAt)) {
		if (wallTime + job.criticalPath > job.dueAt) continue
		selected.add(job)
		totalWork += job.work
		if (wallTime + totalWork / cores <= job.dueAt) continue
		const largest = getLargest(selected)
		selected.delete(largest)
		totalWork -= largest.work
	}
	return selected
}

function getLargest(jobs: ReadonlySet<RemainingWork>): RemainingWork {
	let largest: RemainingWork | undefined
	for (const job of jobs) {
		if (!largest || job.work > largest.work) largest = job
	}
	if (!largest) throw new Error('cannot find the largest job: no jobs are selected')
	return largest
}
