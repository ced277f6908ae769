import type { CrashSuspicion } from './CrashSuspicion.js'
import type { TaskRow } from '../TaskRow.js'

/**
 * A task that may have crashed a backend server.
 *
 * @public
 */
export interface CrashSuspect {
	readonly task: TaskRow
	readonly suspicion: CrashSuspicion
}
