import type { TaskRow } from '../TaskRow.js'

/**
 * Whether a lasting task runs at full speed and no order that ends it is in flight.
 *
 * @public
 */
export function isTaskAvailable(task: TaskRow): boolean {
	if (task.phase !== 'placed' || task.availableSince === undefined) return false
	return !task.stopping && !task.interrupting
}
