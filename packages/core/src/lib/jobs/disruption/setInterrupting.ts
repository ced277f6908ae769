import type { BackendRow } from '../BackendRow.js'

/**
 * Marks the tasks on a backend server as being interrupted by an order for its machine, or takes the
 * mark back if no such order was sent. Marked tasks count as unavailable, so that nothing else
 * interrupts further tasks of their steps meanwhile.
 *
 * @public
 */
export function setInterrupting(backend: BackendRow, interrupting: boolean): void {
	for (const task of backend.tasks.values()) task.interrupting = interrupting
}
