import type { TaskRow } from './TaskRow.js'

/**
 * Whether a lasting task is fully at work and nothing is about to end it.
 *
 * @public
 */
export function isTaskAvailable(task: TaskRow): boolean {
	return task.phase === 'placed' && task.availableSince !== undefined && !task.stopping
}
