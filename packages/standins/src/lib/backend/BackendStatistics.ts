import type { BackendRun } from './BackendRun.js'

/**
 * What a backend server stand-in saw.
 *
 * @public
 */
export interface BackendStatistics {
	readonly running: number
	readonly connections: number
	readonly refused: number
	readonly runs: number
	/** Runs under way by team. */
	readonly runningByTeam: Readonly<Record<string, number>>
	/** Runs started by request id. */
	readonly runsByRequest: Readonly<Record<string, number>>
	/** Wall clock of the newest run's start, in milliseconds; 0 before the first. */
	readonly lastStartedAt: number
	/** Newest 5,000 runs, in the order of their starts. */
	readonly newestRuns: readonly BackendRun[]
}
