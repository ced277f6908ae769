import type { Resources } from './Resources.js'

/**
 * Configuration of a team.
 *
 * @public
 */
export interface TeamRules {
	readonly name: string
	/** API keys of the team. */
	readonly keys: readonly string[]
	/** Weight of the team's share when capacity is short. */
	readonly weight: number
	/** Maximum resources of its placed tasks on all backend servers; 0 means no limit. */
	readonly limit: Resources
}
