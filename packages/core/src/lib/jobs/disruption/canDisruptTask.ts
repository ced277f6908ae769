import type { TaskRow } from '../TaskRow.js'
import { countUnavailableSiblings } from './countUnavailableSiblings.js'

/**
 * Whether an available lasting task may be stopped: its step would have no more unavailable tasks
 * than its `mayMiss` allows.
 *
 * @public
 */
export function canDisruptTask(task: TaskRow): boolean {
	const { mayMiss } = task.step
	return mayMiss === undefined || countUnavailableSiblings(task) < mayMiss
}
