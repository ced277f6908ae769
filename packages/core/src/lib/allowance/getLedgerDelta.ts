import type { TeamSituation } from './TeamSituation.js'

/**
 * Change of the own allowance towards an even split: asks only for room that is seen in the
 * ledger, and releases only what others could use or what is above a lowered limit.
 *
 * @internal
 */
export function getLedgerDelta(situation: TeamSituation): number {
	const { limit, total, evenShare, granted, free } = situation
	const room = limit - total
	if (granted < evenShare) return Math.max(0, Math.min(evenShare - granted, room))
	if (room > 0) return 0
	const excess = Math.max(granted - evenShare, Math.min(granted, -room))
	return -Math.min(free, excess)
}
