import type { CrashSuspect } from './CrashSuspect.js'
import type { TaskRow } from '../TaskRow.js'
import { getRunAge } from './getRunAge.js'
import { hasSurvivedStart } from './hasSurvivedStart.js'
import { STABLE_RUN_TIME } from './stableRunTime.js'

/**
 * Returns the tasks that may have crashed the backend server that they ran on: of those that had just
 * been started, the ones that may have crashed servers before, or else all; if there are none, those that
 * had run for a short time.
 *
 * @param tasks - the tasks that were placed on the server when it crashed
 * @param hasUnreadRuns - whether runs of unread jobs were there as well, any of which may have caused it
 * @public
 */
export function getCrashSuspects(tasks: readonly TaskRow[], hasUnreadRuns = false): CrashSuspect[] {
	const recent = tasks.filter(
		(task) => task.orderState !== 'recorded' && getRunAge(task) < STABLE_RUN_TIME
	)
	const fresh = recent.filter((task) => !hasSurvivedStart(task))
	if (fresh.length === 0) return recent.map((task) => ({ task, suspicion: 'shared' }))
	const known = fresh.filter((task) => task.isSuspected)
	const suspects = known.length > 0 ? known : fresh
	const isSole = !hasUnreadRuns && new Set(suspects.map(({ job }) => job)).size === 1
	return suspects.map((task) => {
		// Nothing else was started beside it then, so that it must have begun.
		const hasBegun = isRunConfirmed(task) || (isSole && task.isSuspected)
		if (!hasBegun) return { task, suspicion: 'unconfirmed' }
		return { task, suspicion: isSole ? 'sole' : 'shared' }
	})
}

/** Whether the server has shown that the current run has begun. */
function isRunConfirmed({ orderState, listedAt }: TaskRow): boolean {
	return orderState === 'confirmed' || listedAt > -Infinity
}
