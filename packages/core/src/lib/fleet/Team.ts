import type { TeamId } from '../ids/TeamId.js'

/**
 * A team of callers.
 *
 * @public
 */
export interface Team {
	readonly name: TeamId
	/** Weight in the division of capacity among teams under contention. */
	readonly share: number
	/** Maximum number of requests that it may have running at once across the fleet. */
	readonly limit: number
}
