import type { BackendRow } from '../BackendRow.js'
import type { JobRow } from '../JobRow.js'
import type { StartActivity } from './StartActivity.js'
import { hasSurvivedStart } from './hasSurvivedStart.js'
import { isOnProbation } from './isOnProbation.js'

/**
 * Returns what has just been started on a backend server.
 *
 * @internal
 */
export function getStartActivity({ tasks }: BackendRow): StartActivity {
	const jobs = new Set<JobRow>()
	let latestStart = -Infinity
	let hasSuspects = false
	for (const task of tasks.values()) {
		if (hasSurvivedStart(task)) continue
		jobs.add(task.job)
		latestStart = Math.max(latestStart, task.startedAt)
		hasSuspects ||= isOnProbation(task)
	}
	return { jobs, latestStart, hasSuspects }
}
