import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Longest run that the fleet document in force allows; 0 while there is none.
 *
 * @public
 */
export function getCurrentRunBound(state: FleetState): Milliseconds {
	let longest = 0
	for (const { runMilliseconds, replacedAt } of state.runBounds) {
		if (replacedAt === undefined) longest = Math.max(longest, runMilliseconds)
	}
	return longest
}
