import { EventLog } from '../logs/EventLog.js'

/**
 * Keeps all lines in memory, for tests.
 *
 * @internal
 */
export class MemoryEventLog extends EventLog {
	readonly lines: { readonly event: string; readonly fields: Readonly<Record<string, unknown>> }[] =
		[]

	override write(
		_level: 'info' | 'warn' | 'error',
		event: string,
		fields: Readonly<Record<string, unknown>>
	): void {
		this.lines.push({ event, fields })
	}

	/** Returns the fields of all lines of an event, in order. */
	get(event: string): Readonly<Record<string, unknown>>[] {
		return this.lines.filter((line) => line.event === event).map((line) => line.fields)
	}
}
