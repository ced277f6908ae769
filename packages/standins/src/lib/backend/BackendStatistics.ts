import type { BackendRun } from './BackendRun.js'

/**
 * State and counters of a backend server stand-in, as its control port returns them.
 *
 * @public
 */
export interface BackendStatistics {
	/** Requests running now. */
	readonly running: number
	/** Connections open now. */
	readonly connections: number
	readonly refused: number
	/** Runs started. */
	readonly runs: number
	/** Requests running now, by team. */
	readonly runningByTeam: Readonly<Record<string, number>>
	/** Runs started, by request id. */
	readonly runsByRequest: Readonly<Record<string, number>>
	/** Start of the newest run, in milliseconds since 1970; 0 before the first run. */
	readonly lastStartedAt: number
	/** The newest 5,000 runs, oldest first by start. */
	readonly newestRuns: readonly BackendRun[]
}
