import { OrderPolicy } from './OrderPolicy.js'
import type { JobOutlook } from './JobOutlook.js'
import type { OrderCandidate } from './OrderCandidate.js'
import type { OrderedCandidate } from './OrderedCandidate.js'
import { getJobOutlook } from './getJobOutlook.js'
import { selectInTime } from './selectInTime.js'

/** Ranks of the groups that are placed one after the other. */
const LASTING = 0
const IN_TIME = 1
const LATE = 2

interface Ranked {
	readonly candidate: OrderedCandidate
	readonly group: number
	readonly priority: number
	/** Order within the group: instant of the latest start, or of acceptance. */
	readonly instant: number
}

/**
 * Lasting tasks first; then, by priority, the jobs that can all be in time, the least slack first;
 * then the others, oldest first.
 *
 * @public
 */
export class InTimeOrder extends OrderPolicy {
	override sort(
		candidates: readonly OrderCandidate[],
		cores: ReadonlyMap<string, number>,
		wallTime: number
	): OrderedCandidate[] {
		const ranked: Ranked[] = []
		for (const [service, group] of groupByService(candidates)) {
			ranked.push(...rankService(group, cores.get(service) ?? 0, wallTime))
		}
		ranked.sort((a, b) => a.group - b.group || a.priority - b.priority || a.instant - b.instant)
		return ranked.map(({ candidate }) => candidate)
	}
}

function groupByService(candidates: readonly OrderCandidate[]): Map<string, OrderCandidate[]> {
	const groups = new Map<string, OrderCandidate[]>()
	for (const candidate of candidates) {
		const { service } = candidate.queue
		const group = groups.get(service)
		if (group) group.push(candidate)
		else groups.set(service, [candidate])
	}
	return groups
}

function rankService(
	candidates: readonly OrderCandidate[],
	cores: number,
	wallTime: number
): Ranked[] {
	const outlooks = new Map<string, JobOutlook>()
	for (const { run, queue } of candidates) {
		if (run.step.lasting) continue
		const key = getKey(run)
		if (!outlooks.has(key)) outlooks.set(key, getJobOutlook(run.row, run.occurrence, queue))
	}
	const inTime = selectInTime([...outlooks.values()], cores, wallTime)
	return candidates.map(({ run, queue }) => {
		const { priority } = queue
		const { acceptedAt } = run.row.job
		const outlook = outlooks.get(getKey(run))
		const hopeless = outlook !== undefined && wallTime + outlook.chain > outlook.due
		const candidate = { run, queue, hopeless }
		if (run.step.lasting || !outlook) {
			return { candidate, group: LASTING, priority, instant: acceptedAt }
		}
		if (!inTime.has(outlook)) return { candidate, group: LATE, priority, instant: acceptedAt }
		return { candidate, group: IN_TIME, priority, instant: outlook.due - outlook.chain }
	})
}

function getKey(run: OrderCandidate['run']): string {
	return `${run.row.job.id}.${run.occurrence}`
}
