import { EventLog } from './EventLog.js'

/**
 * Discards every line, for tests.
 *
 * @public
 */
export class SilentEventLog extends EventLog {
	override write(): void {
		// Discarded.
	}
}
