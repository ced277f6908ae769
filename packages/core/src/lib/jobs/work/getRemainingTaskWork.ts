import type { TaskRow } from '../TaskRow.js'
import type { RunTimes } from '../lookahead/RunTimes.js'
import { getRemainingDuration } from './getRemainingDuration.js'

const MILLICORES_PER_CORE = 1_000

/**
 * Estimates the remaining work of an unfinished task, in core-milliseconds. Lasting and best-effort
 * tasks do not count.
 *
 * @public
 */
export function getRemainingTaskWork(task: TaskRow, runTimes?: RunTimes): number {
	const { needs, lasting, fills } = task.step
	if (lasting || fills) return 0
	return getRemainingDuration(task, runTimes) * (needs.cpu / MILLICORES_PER_CORE)
}
