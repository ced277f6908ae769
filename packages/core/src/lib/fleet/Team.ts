import type { TeamId } from '../ids/TeamId.js'

/**
 * A team of callers.
 *
 * @public
 */
export interface Team {
	readonly name: TeamId
	/** Weight of the team when everything is full. */
	readonly share: number
	/** Requests that it may have running at once across the fleet. */
	readonly limit: number
}
