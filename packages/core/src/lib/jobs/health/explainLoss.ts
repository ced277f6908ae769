import type { TaskRow } from '../TaskRow.js'
import { recordCrash } from './recordCrash.js'

/**
 * Applies what has become known of a task's unexplained loss. The caller then updates the job with
 * `updateJobState`.
 *
 * @param isCrash - whether the server had crashed
 * @public
 */
export function explainLoss(task: TaskRow, isCrash: boolean): void {
	const suspicion = task.unexplainedLoss?.suspicion
	task.unexplainedLoss = undefined
	if (!isCrash || !suspicion) return
	const isGivenUp = recordCrash(task, suspicion)
	if (isGivenUp && task.phase === 'pending') task.phase = 'failed'
}
