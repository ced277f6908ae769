import type { TeamPlan } from './TeamPlan.js'
import type { TeamSituation } from './TeamSituation.js'

/**
 * Decides how much allowance a member asks for, lends, borrows and returns. No decision of a
 * policy can break an upper limit: the ledger and the holder bound what it may do.
 *
 * @public
 */
export abstract class AllowancePolicy {
	abstract plan(situation: TeamSituation): TeamPlan

	/** Own units that the member may lend. */
	abstract getLendableUnits(situation: TeamSituation): number
}
