/**
 * A record that the platform's log keeps.
 *
 * @internal
 */
export interface LogRow {
	readonly offset: number
	/** Platform clock at the append, in milliseconds. */
	readonly at: number
	readonly record: string
}
