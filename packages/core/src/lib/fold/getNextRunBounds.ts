import { allowanceTerms } from '../allowance/allowanceTerms.js'
import { getReclaimDelay } from '../allowance/getReclaimDelay.js'
import type { RunBound } from '../state/RunBound.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/** An instance that is cut off may start work under a replaced document for the floor lease. */
function isExpired({ runMilliseconds, replacedAt }: RunBound, at: Milliseconds): boolean {
	if (replacedAt === undefined) return false
	return replacedAt + allowanceTerms.floorLease + getReclaimDelay(runMilliseconds) < at
}

/**
 * Run bounds once a document with `runMilliseconds` came into force. Bounds that nothing can be
 * running under any more are dropped, and so are those that a later one covers.
 *
 * @param at - platform clock of the apply
 *
 * @internal
 */
export function getNextRunBounds(
	bounds: readonly RunBound[],
	runMilliseconds: Milliseconds,
	at: Milliseconds
): readonly RunBound[] {
	const next: RunBound[] = []
	for (const bound of bounds) {
		const replaced = { ...bound, replacedAt: bound.replacedAt ?? at }
		if (replaced.runMilliseconds <= runMilliseconds || isExpired(replaced, at)) continue
		while ((next.at(-1)?.runMilliseconds ?? Infinity) <= replaced.runMilliseconds) next.pop()
		next.push(replaced)
	}
	next.push({ runMilliseconds })
	return next
}
