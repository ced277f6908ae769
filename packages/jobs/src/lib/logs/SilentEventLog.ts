import { EventLog } from './EventLog.js'

/**
 * Drops every line; for tests of decisions.
 *
 * @public
 */
export class SilentEventLog extends EventLog {
	override write(): void {
		// Nothing reads these lines.
	}
}
