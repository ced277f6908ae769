import { SchedulingPolicy } from './SchedulingPolicy.js'
import type { RemainingWork } from './RemainingWork.js'
import type { SchedulingCandidate } from './SchedulingCandidate.js'
import type { RankedCandidate } from './RankedCandidate.js'
import { getRemainingWork } from './getRemainingWork.js'
import { selectFeasibleJobs } from './selectFeasibleJobs.js'

/** Ranks of the groups that are placed one after the other. */
const LASTING = 0
const FEASIBLE = 1
const DEFERRED = 2

interface RankedEntry {
	readonly candidate: RankedCandidate
	readonly group: number
	readonly priority: number
	/** Order within the group: instant of the latest start, or of acceptance. */
	readonly sortTime: number
}

/**
 * Lasting tasks first; then, by priority, the jobs that can all be in time, the least slack first;
 * then the others, oldest first.
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
	const outlooks = new Map<string, RemainingWork>()
	for (const { readyStep: run, queue } of candidates) {
		if (run.step.lasting) continue
		const key = getOccurrenceKey(run)
		if (!outlooks.has(key)) outlooks.set(key, getRemainingWork(run.row, run.occurrence, queue))
	}
	const inTime = selectFeasibleJobs([...outlooks.values()], cores, wallTime)
	return candidates.map(({ readyStep: run, queue }) => {
		const { priority } = queue
		const { acceptedAt } = run.row.job
		const outlook = outlooks.get(getOccurrenceKey(run))
		const hopeless = outlook !== undefined && wallTime + outlook.criticalPath > outlook.dueAt
		const candidate = { readyStep: run, queue, isLate: hopeless }
		if (run.step.lasting || !outlook) {
			return { candidate, group: LASTING, priority, sortTime: acceptedAt }
		}
		if (!inTime.has(outlook)) return { candidate, group: DEFERRED, priority, sortTime: acceptedAt }
		return { candidate, group: FEASIBLE, priority, sortTime: outlook.dueAt - outlook.criticalPath }
	})
}

function getOccurrenceKey(run: SchedulingCandidate['readyStep']): string {
	return `${run.row.job.id}.${run.occurrence}`
}
