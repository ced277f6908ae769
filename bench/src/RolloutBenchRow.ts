/**
 * Times from the proposal of a configuration until it is in force.
 *
 * @public
 */
export interface RolloutBenchRow {
	readonly daemons: number
	readonly backendServers: number
	readonly applies: number
	/** Median milliseconds until the last daemon has it. */
	readonly p50: number
	/** Longest of all, in milliseconds. */
	readonly longest: number
}
