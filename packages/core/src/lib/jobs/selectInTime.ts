import type { JobOutlook } from './JobOutlook.js'

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
export function selectInTime(
	outlooks: readonly JobOutlook[],
	cores: number,
	wallTime: number
): Set<JobOutlook> {
	const kept = new Set<JobOutlook>()
	if (cores <= 0) return kept
	let total = 0
	for (const outlook of [...outlooks].sort((a, b) => a.due - b.due)) {
		if (wallTime + outlook.chain > outlook.due) continue
		kept.add(outlook)
		total += outlook.work
		if (wallTime + total / cores <= outlook.due) continue
		const largest = getLargest(kept)
		kept.delete(largest)
		total -= largest.work
	}
	return kept
}

function getLargest(outlooks: ReadonlySet<JobOutlook>): JobOutlook {
	let largest: JobOutlook | undefined
	for (const outlook of outlooks) {
		if (!largest || outlook.work > largest.work) largest = outlook
	}
	if (!largest) throw new Error('no outlook to choose from')
	return largest
}
