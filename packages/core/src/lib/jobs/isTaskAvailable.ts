import type { TaskRow } from './TaskRow.js'

/**
 * Whether a lasting task runs at full speed and is not being stopped.
 *
 * @public
 */
export function isTaskAvailable(task: TaskRow): boolean {
	return task.phase === 'placed' && task.availableSince !== undefined && !task.stopping
}
