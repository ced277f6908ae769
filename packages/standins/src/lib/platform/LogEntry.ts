/**
 * A record in the platform's log.
 *
 * @internal
 */
export interface LogEntry {
	readonly offset: number
	/** Time of the append by the platform's clock, in milliseconds since 1970. */
	readonly at: number
	readonly record: string
}
