import type { TeamId } from '../ids/TeamId.js'

/**
 * A change of the allowance that an entry instance holds for one team.
 *
 * @public
 */
export interface AllowanceChange {
	readonly team: TeamId
	/** Units requested if positive, released if negative. */
	readonly delta: number
}
