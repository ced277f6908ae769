/**
 * A record that the platform's log keeps.
 *
 * @internal
 */
export interface LogEntry {
	readonly offset: number
	/** Platform clock at the append, in milliseconds. */
	readonly at: number
	readonly record: string
}
