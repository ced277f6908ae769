import { AllowancePolicy } from './AllowancePolicy.js'
import { getEvenSplitDelta } from './getEvenSplitDelta.js'
import type { TeamPlan } from './TeamPlan.js'
import type { TeamSituation } from './TeamSituation.js'

/**
 * Baseline policy: each member holds an even share of the limit, and nothing is lent.
 *
 * @public
 */
export class EvenSplitPolicy extends AllowancePolicy {
	override plan(situation: TeamSituation): TeamPlan {
		const { limit, total, evenShare, capacity } = situation
		const maximumRunning = total > limit ? evenShare : Infinity
		return {
			delta: getEvenSplitDelta(situation),
			maximumRunning,
			targetCapacity: capacity,
			loans: [],
		}
	}

	override getLendableUnits(): number {
		return 0
	}
}
