import { AllowancePolicy } from './AllowancePolicy.js'
import { getEvenSplitDelta } from './getEvenSplitDelta.js'
import type { TeamPlan } from './TeamPlan.js'
import type { TeamSituation } from './TeamSituation.js'

/**
 * Baseline: each member holds an even part of the limit, and nothing is lent.
 *
 * @public
 */
export class EvenSplitPolicy extends AllowancePolicy {
	override plan(situation: TeamSituation): TeamPlan {
		const { limit, total, evenShare, capacity } = situation
		const maximum = total > limit ? evenShare : Infinity
		return {
			delta: getEvenSplitDelta(situation),
			maximumRunning: maximum,
			targetCapacity: capacity,
			loans: [],
		}
	}

	override getLendableUnits(): number {
		return 0
	}
}
