import { SchedulingPolicy } from './SchedulingPolicy.js'
import type { RemainingWork } from './RemainingWork.js'
import type { SchedulingCandidate } from './SchedulingCandidate.js'
import type { RankedCandidate } from './RankedCandidate.js'
import { getRemainingWork } from './getRemainingWork.js'
import { selectFeasibleJobs } from './selectFeasibleJobs.js'

/** Numbers of the groups of candidates, which are placed in this order. */
const LASTING = 0
const FEASIBLE = 1
const DEFERRED = 2

interface RankedEntry {
	readonly candidate: RankedCandidate
	readonly group: number
	readonly priority: number
	/** Latest start that is on time, or time of acceptance; in milliseconds since 1970. */
	readonly sortTime: number
}

/**
 * Ranks lasting tasks first, then the jobs that can all finish on time, then the remaining jobs.
 * Each group is ordered by priority; within a priority, jobs that can finish on time are ordered by
 * least slack and all others by age.
 *
 * @public
 */
export class LeastSlackPolicy extends SchedulingPolicy {
	override rank(
		candidates: readonly SchedulingCandidate[],
		cores: ReadonlyMap<string, number>,
		wallTime: number
	): RankedCandidate[] {
		const ranked: RankedEntry[] = []
		for (const [service, group] of groupByService(candidates)) {
			ranked.push(...rankService(group, cores.get(service) ?? 0, wallTime))
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
	cores: number,
	wallTime: number
): RankedEntry[] {
	const workByOccurrence = new Map<string, RemainingWork>()
	for (const { readyStep, queue } of candidates) {
		if (readyStep.step.lasting) continue
		const key = getOccurrenceKey(readyStep)
		if (!workByOccurrence.has(key))
			workByOccurrence.set(key, getRemainingWork(readyStep.row, readyStep.occurrence, queue))
	}
	const feasible = selectFeasibleJobs([...workByOccurrence.values()], cores, wallTime)
	return candidates.map(({ readyStep, queue }) => {
		const { priority } = queue
		const { acceptedAt } = readyStep.row.job
		const work = workByOccurrence.get(getOccurrenceKey(readyStep))
		const isLate = work !== undefined && wallTime + work.criticalPath > work.dueAt
		const candidate = { readyStep, queue, isLate }
		if (readyStep.step.lasting || !work) {
			return { candidate, group: LASTING, priority, sortTime: acceptedAt }
		}
		if (!feasible.has(work)) return { candidate, group: DEFERRED, priority, sortTime: acceptedAt }
		return { candidate, group: FEASIBLE, priority, sortTime: work.dueAt - work.criticalPath }
	})
}

function getOccurrenceKey(readyStep: SchedulingCandidate['readyStep']): string {
	return `${readyStep.row.job.id}.${readyStep.occurrence}`
}
