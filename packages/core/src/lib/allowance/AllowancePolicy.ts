import type { TeamPlan } from './TeamPlan.js'
import type { TeamSituation } from './TeamSituation.js'

/**
 * Decides how much allowance a member requests, lends, borrows and returns. No policy can exceed the
 * limit of a team: the fold and the holder enforce it.
 *
 * @public
 */
export abstract class AllowancePolicy {
	abstract plan(situation: TeamSituation): TeamPlan

	/** Returns the number of units that the member may lend. */
	abstract getLendableUnits(situation: TeamSituation): number
}
