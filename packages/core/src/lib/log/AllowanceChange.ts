import type { TeamId } from '../ids/TeamId.js'

/**
 * A change of the allowance that an entry instance holds for one team.
 *
 * @public
 */
export interface AllowanceChange {
	readonly team: TeamId
	/** Units asked for when positive, released when negative. */
	readonly delta: number
}
