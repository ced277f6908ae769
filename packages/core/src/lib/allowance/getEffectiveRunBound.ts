import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { allowanceTerms } from './allowanceTerms.js'
import { getReclaimDelay } from './getReclaimDelay.js'

/**
 * Longest run that can still be under way. A replaced document counts while work may run that a
 * holder cut off from the log started on its floor before it saw the replacement.
 *
 * @param at - platform clock to judge by
 * @returns milliseconds
 *
 * @public
 */
export function getEffectiveRunBound(state: FleetState, at: Milliseconds): Milliseconds {
	let longest = 0
	for (const { runMilliseconds, replacedAt } of state.runBounds) {
		if (!isExpired(runMilliseconds, replacedAt, at)) longest = Math.max(longest, runMilliseconds)
	}
	return longest
}

function isExpired(
	runMilliseconds: Milliseconds,
	replacedAt: Milliseconds | undefined,
	at: Milliseconds
): boolean {
	if (replacedAt === undefined) return false
	return at > replacedAt + allowanceTerms.floorLease + getReclaimDelay(runMilliseconds)
}
