import type { CrashSuspicion } from './CrashSuspicion.js'
import type { TaskRow } from './TaskRow.js'
import { getRunAge } from './getRunAge.js'
import { hasSurvivedStart } from './hasSurvivedStart.js'
import { STABLE_RUN_TIME } from './stableRunTime.js'

/**
 * Returns the tasks that may have crashed the backend server that they ran on: of those that had just
 * been started, the ones that may have crashed servers before, or else all; if there are none, those that
 * had run for a short time.
 *
 * @param tasks - the tasks that were placed on the server when it crashed
 * @public
 */
export function getCrashSuspects(tasks: readonly TaskRow[]): {
	readonly suspects: readonly TaskRow[]
	readonly suspicion: CrashSuspicion
} {
	const recent = tasks.filter(
		(task) => task.orderState !== 'recorded' && getRunAge(task) < STABLE_RUN_TIME
	)
	const fresh = recent.filter((task) => !hasSurvivedStart(task))
	if (fresh.length === 0) return { suspects: recent, suspicion: 'shared' }
	const known = fresh.filter(({ crashes }) => crashes > 0)
	const suspects = known.length > 0 ? known : fresh
	const jobs = new Set(suspects.map(({ job }) => job))
	return { suspects, suspicion: jobs.size === 1 ? 'sole' : 'shared' }
}
