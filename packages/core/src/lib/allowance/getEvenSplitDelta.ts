import type { TeamSituation } from './TeamSituation.js'

/**
 * Returns the change of a member's allowance towards an even split. It requests only units that the
 * folded state shows as unallocated. It releases free units only when the limit is fully allocated,
 * or exceeded because it was lowered.
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
