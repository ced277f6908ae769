import type { TeamSituation } from './TeamSituation.js'

/**
 * Change of the own allowance towards an even split: asks only for room that is seen in the
 * ledger, and releases only what others could use or what is above a lowered limit.
 *
 * @internal
 */
export function getEvenSplitDelta(situation: TeamSituation): number {
	const { limit, total, evenShare, granted, free } = situation
	const available = limit - total
	if (granted < evenShare) return Math.max(0, Math.min(evenShare - granted, available))
	if (available > 0) return 0
	const excess = Math.max(granted - evenShare, Math.min(granted, -available))
	return -Math.min(free, excess)
}
