import { allowanceTerms } from '../allowance/allowanceTerms.js'
import { getReclaimDelay } from '../allowance/getReclaimDelay.js'
import type { RunBound } from '../state/RunBound.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Whether no request started under a replaced document can still run. An instance that is cut off
 * from the log may start requests under it until its floor lease ends.
 */
function isExpired({ runMilliseconds, replacedAt }: RunBound, at: Milliseconds): boolean {
	if (replacedAt === undefined) return false
	return replacedAt + allowanceTerms.floorLease + getReclaimDelay(runMilliseconds) < at
}

/**
 * Returns the run bounds after a document with `runMilliseconds` was applied. Drops the bounds under
 * which no request can still run, and those that a later bound covers.
 *
 * @param at - platform clock of the apply entry, in milliseconds
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
