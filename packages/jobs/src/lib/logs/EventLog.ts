/**
 * Writes structured log lines, one per event. Never blocks the caller.
 *
 * @public
 */
export abstract class EventLog {
	/**
	 * Writes one line.
	 *
	 * @param event - stable name of the event, in lower case with hyphens
	 * @param fields - the decision and its inputs, with their age or version
	 */
	abstract write(
		level: 'info' | 'warn' | 'error',
		event: string,
		fields: Readonly<Record<string, unknown>>
	): void

	info(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.write('info', event, fields)
	}

	warn(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.write('warn', event, fields)
	}

	error(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.write('error', event, fields)
	}
}
