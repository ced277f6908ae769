import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Returns the longest run that the current fleet document allows, in milliseconds; 0 while there is
 * no document.
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
