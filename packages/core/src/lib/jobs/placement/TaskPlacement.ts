import type { BackendRow } from '../BackendRow.js'
import type { TaskRow } from '../TaskRow.js'

/**
 * Decision to run one attempt of a task on a backend server.
 *
 * @public
 */
export interface TaskPlacement {
	readonly task: TaskRow
	readonly backend: BackendRow
	readonly attempt: number
}
