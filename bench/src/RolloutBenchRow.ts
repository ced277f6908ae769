/**
 * Time from proposing a configuration until every daemon has applied it.
 *
 * @public
 */
export interface RolloutBenchRow {
	readonly daemons: number
	readonly backendServers: number
	/** Number of configurations proposed. */
	readonly applies: number
	/** Median until the last daemon has applied a configuration, in milliseconds. */
	readonly p50: number
	/** Longest time, in milliseconds. */
	readonly longest: number
}
