import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { getReclaimDelay } from './getReclaimDelay.js'

/**
 * Longest run that can still be under way on allowance whose lease is `lease`. A replaced document
 * counts while work that a holder started before it saw the replacement may run.
 *
 * @param at - platform clock to judge by
 * @returns milliseconds
 *
 * @public
 */
export function getRunBound(
	state: FleetState,
	at: Milliseconds,
	lease: Milliseconds
): Milliseconds {
	let longest = 0
	for (const { runMilliseconds, replacedAt } of state.runBounds) {
		const isPast =
			replacedAt !== undefined && at > replacedAt + lease + getReclaimDelay(runMilliseconds)
		if (!isPast) longest = Math.max(longest, runMilliseconds)
	}
	return longest
}
