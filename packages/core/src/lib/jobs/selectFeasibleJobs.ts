import type { RemainingWork } from './RemainingWork.js'

/**
 * Chooses the jobs that can all be in time on a pool: by due date, and whenever the work up to a
 * due date is more than the pool can do until then, without the job that has most work left. When
 * demand is above capacity this keeps as many jobs as possible in time, where working off by due
 * date alone would make all of them late.
 *
 * @param cores - cores of the pool
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function selectFeasibleJobs(
	outlooks: readonly RemainingWork[],
	cores: number,
	wallTime: number
): Set<RemainingWork> {
	const kept = new Set<RemainingWork>()
	if (cores <= 0) return kept
	let total = 0
	for (const outlook of [...outlooks].sort((a, b) => a.dueAt - b.dueAt)) {
		if (wallTime + outlook.criticalPath > outlook.dueAt) continue
		kept.add(outlook)
		total += outlook.work
		if (wallTime + total / cores <= outlook.dueAt) continue
		const largest = getLargest(kept)
		kept.delete(largest)
		total -= largest.work
	}
	return kept
}

function getLargest(outlooks: ReadonlySet<RemainingWork>): RemainingWork {
	let largest: RemainingWork | undefined
	for (const outlook of outlooks) {
		if (!largest || outlook.work > largest.work) largest = outlook
	}
	if (!largest) throw new Error('no outlook to choose from')
	return largest
}
