import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { allowanceTerms } from './allowanceTerms.js'
import { getReclaimDelay } from './getReclaimDelay.js'

/**
 * Returns the longest run of any request that can still be running. The bound of a replaced document
 * counts until no request can run that was started under it; a holder cut off from the log may start
 * such requests on its floor after the replacement.
 *
 * @param at - platform clock, in milliseconds
 * @returns the longest run, in milliseconds
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
