import type { RemainingWork } from '../work/RemainingWork.js'
import type { ServiceLoad } from '../pools/ServiceLoad.js'
import { selectFeasibleJobs } from '../placement/selectFeasibleJobs.js'
import { getFairShares } from './getFairShares.js'

type Load = Omit<ServiceLoad, 'blockedJobs'>

/**
 * Selects the jobs that can all finish on time on a service's backend servers, within the shares of their
 * teams first: while the work of all teams exceeds the capacity, what a team sends beyond its share only gets
 * what the shares of the others leave.
 *
 * @param jobs - all jobs of the service with unfinished tasks
 * @param getWeight - returns the weight of a team
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function selectSharedJobs(
	jobs: readonly RemainingWork[],
	load: Load,
	getWeight: (team: string) => number,
	wallTime: number
): Set<RemainingWork> {
	const punctual = jobs.filter(({ criticalPath, dueAt }) => wallTime + criticalPath <= dueAt)
	const surplus = getSurplusJobs(punctual, load, getWeight, wallTime)
	if (surplus.size === 0) return selectFeasibleJobs(punctual, load, wallTime)
	const shared = punctual.filter((job) => !surplus.has(job))
	const selected = selectFeasibleJobs(shared, load, wallTime)
	const rest = selectFeasibleJobs([...surplus], addWork(load, selected), wallTime)
	return new Set([...selected, ...rest])
}

/** Returns the jobs beyond the shares of their teams; of each team those that must start last. */
function getSurplusJobs(
	jobs: readonly RemainingWork[],
	load: Load,
	getWeight: (team: string) => number,
	wallTime: number
): Set<RemainingWork> {
	const surplus = new Set<RemainingWork>()
	const claims = new Map(load.placedWorkByTeam)
	for (const { row, pendingWork } of jobs)
		claims.set(row.job.team, (claims.get(row.job.team) ?? 0) + pendingWork)
	if (claims.size < 2) return surplus
	let claimed = 0
	for (const claim of claims.values()) claimed += claim
	const horizon = Math.max(0, ...jobs.map(({ dueAt }) => dueAt - wallTime))
	const arrivedTime = Math.max(0, horizon - load.arrivingMachines.delay)
	const capacity = load.cores * horizon + load.arrivingMachines.cores * arrivedTime
	if (claimed <= capacity) return surplus
	const shares = getFairShares(claims, capacity, getWeight, (share) => share)
	const left = new Map(
		[...shares].map(([team, share]) => [team, share - (load.placedWorkByTeam.get(team) ?? 0)])
	)
	for (const job of jobs.toSorted((a, b) => getLatestStart(a) - getLatestStart(b))) {
		const { team } = job.row.job
		const rest = left.get(team) ?? 0
		const isWithinShare = job.pendingWork <= rest || shares.get(team) === claims.get(team)
		if (isWithinShare) left.set(team, rest - job.pendingWork)
		else surplus.add(job)
	}
	return surplus
}

/** Returns the load with the work of the selected jobs as if it were placed. */
function addWork(load: Load, selected: ReadonlySet<RemainingWork>): Load {
	let { placedWork, placedCores } = load
	for (const { pendingWork, readyCores } of selected) {
		placedWork += pendingWork
		placedCores += readyCores
	}
	return { ...load, placedWork, placedCores }
}

function getLatestStart({ dueAt, criticalPath }: RemainingWork): number {
	return dueAt - criticalPath
}
