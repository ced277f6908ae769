/**
 * A machine as the planner of pools sees it.
 *
 * @public
 */
export interface PoolMachine {
	readonly id: string
	/** Instant since which nothing has run on it; undefined while it is in use or leaving. */
	readonly idleSince: number | undefined
}
