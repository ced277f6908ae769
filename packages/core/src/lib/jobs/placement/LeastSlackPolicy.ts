import { SchedulingPolicy } from './SchedulingPolicy.js'
import type { ServiceLoad } from '../pools/ServiceLoad.js'
import type { JobRow } from '../JobRow.js'
import type { RemainingWork } from '../work/RemainingWork.js'
import type { SchedulingCandidate } from './SchedulingCandidate.js'
import type { RankedCandidate } from './RankedCandidate.js'
import { EstimatedRunTimes } from '../lookahead/EstimatedRunTimes.js'
import type { RunTimes } from '../lookahead/RunTimes.js'
import { getRemainingWork } from '../work/getRemainingWork.js'
import { selectSharedJobs } from '../scarcity/selectSharedJobs.js'

/** Numbers of the groups of candidates, which are placed in this order. */
const LASTING = 0
const FEASIBLE = 1
const DEFERRED = 2
const LATE = 3

const emptyLoad: ServiceLoad = {
	cores: 0,
	arrivingMachines: { cores: 0, delay: 0 },
	placedCores: 0,
	placedWork: 0,
	placedWorkByTeam: new Map(),
	blockedJobs: [],
}

type OccurrenceKey = JobRow | string

interface RankedEntry {
	readonly candidate: RankedCandidate
	readonly group: number
	readonly priority: number
	/** Latest start that is on time, or time of acceptance; in milliseconds since 1970. */
	readonly sortTime: number
}

/**
 * Ranks lasting tasks first, then the jobs that can all finish on time, by the shares of their teams, then those that could only do
 * so instead of others, then late jobs. Each group is ordered by priority; within a priority, jobs that
 * are not late are ordered by least slack and all others by age.
 *
 * @public
 */
export class LeastSlackPolicy extends SchedulingPolicy {
	constructor(private readonly runTimes: RunTimes = new EstimatedRunTimes()) {
		super()
	}

	override rank(
		candidates: readonly SchedulingCandidate[],
		loads: ReadonlyMap<string, ServiceLoad>,
		wallTime: number,
		getWeight: (team: string) => number
	): RankedCandidate[] {
		const ranked: RankedEntry[] = []
		for (const [service, group] of groupByService(candidates)) {
			const load = loads.get(service) ?? emptyLoad
			ranked.push(...rankService(group, load, wallTime, this.runTimes, getWeight))
		}
		ranked.sort((a, b) => a.group - b.group || a.priority - b.priority || a.sortTime - b.sortTime)
		return ranked.map(({ candidate }) => candidate)
	}
}

function groupByService(
	candidates: readonly SchedulingCandidate[]
): Map<string, SchedulingCandidate[]> {
	const groups = new Map<string, SchedulingCandidate[]>()
	for (const candidate of candidates) {
		const { service } = candidate.queue
		const group = groups.get(service)
		if (group) group.push(candidate)
		else groups.set(service, [candidate])
	}
	return groups
}

function rankService(
	candidates: readonly SchedulingCandidate[],
	load: ServiceLoad,
	wallTime: number,
	runTimes: RunTimes,
	getWeight: (team: string) => number
): RankedEntry[] {
	const workByOccurrence = new Map<OccurrenceKey, RemainingWork>()
	for (const { readyStep, queue } of candidates) {
		if (readyStep.step.lasting) continue
		const key = getOccurrenceKey(readyStep)
		if (!workByOccurrence.has(key))
			workByOccurrence.set(
				key,
				getRemainingWork(readyStep.row, readyStep.occurrence, queue, runTimes)
			)
	}
	const jobs = [...workByOccurrence.values(), ...load.blockedJobs]
	const feasible = selectSharedJobs(jobs, load, getWeight, wallTime)
	return candidates.map(({ readyStep, queue }) => {
		const { priority } = queue
		const { acceptedAt } = readyStep.row.job
		const work = workByOccurrence.get(getOccurrenceKey(readyStep))
		const isLate = work !== undefined && wallTime + work.criticalPath > work.dueAt
		const candidate = { readyStep, queue, isLate }
		if (readyStep.step.lasting || !work) {
			return { candidate, group: LASTING, priority, sortTime: acceptedAt }
		}
		if (isLate) return { candidate, group: LATE, priority, sortTime: acceptedAt }
		const group = feasible.has(work) ? FEASIBLE : DEFERRED
		return { candidate, group, priority, sortTime: work.dueAt - work.criticalPath }
	})
}

/** Identifies an occurrence; the row alone does for a job without a schedule, which needs no new text. */
function getOccurrenceKey({ row, occurrence }: SchedulingCandidate['readyStep']): OccurrenceKey {
	return row.job.times > 0 ? `${row.job.id}.${occurrence}` : row
}
