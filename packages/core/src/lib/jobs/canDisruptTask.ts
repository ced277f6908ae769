import type { TaskRow } from './TaskRow.js'
import { countUnavailableSiblings } from './countUnavailableSiblings.js'

/**
 * Whether an order may end a lasting task that is at work: its step would have no more tasks away
 * than it allows.
 *
 * @public
 */
export function canDisruptTask(task: TaskRow): boolean {
	const { mayMiss } = task.step
	return mayMiss === undefined || countUnavailableSiblings(task) < mayMiss
}
