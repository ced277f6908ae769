import type { Resources } from './Resources.js'

/**
 * What the configuration says of a team.
 *
 * @public
 */
export interface TeamRules {
	readonly name: string
	readonly keys: readonly string[]
	/** Share when all is full. */
	readonly weight: number
	/** What it may have running over all backend servers; 0 stands for no limit. */
	readonly limit: Resources
}
