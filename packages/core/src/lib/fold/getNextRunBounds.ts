import type { RunBound } from '../state/RunBound.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * For how long after its replacement an instance that is cut off may still start work under a
 * document: the floor lease and its margin for clock-rate error.
 */
const REPLACED_START_MILLISECONDS = 3_600_000 + 60_000

function isPast({ runMilliseconds, replacedAt }: RunBound, at: Milliseconds): boolean {
	if (replacedAt === undefined) return false
	return replacedAt + REPLACED_START_MILLISECONDS + runMilliseconds < at
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
		if (replaced.runMilliseconds <= runMilliseconds || isPast(replaced, at)) continue
		while ((next.at(-1)?.runMilliseconds ?? Infinity) <= replaced.runMilliseconds) next.pop()
		next.push(replaced)
	}
	next.push({ runMilliseconds })
	return next
}
