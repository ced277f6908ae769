import type { TaskRow } from '../TaskRow.js'
import { hasSurvivedStart } from './hasSurvivedStart.js'

/**
 * Whether a placed task may have crashed servers before, and may do so again where it is now. Nothing else
 * is started there meanwhile, so that a further crash has one suspect.
 *
 * @public
 */
export function isOnProbation(task: TaskRow): boolean {
	return task.isSuspected && task.phase === 'placed' && !hasSurvivedStart(task)
}
