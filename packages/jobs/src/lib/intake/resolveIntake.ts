import { intakeStreams } from '../ports/intakeStreams.js'
import type { CancellationScope } from './CancellationScope.js'
import type { IntakeEntry } from './IntakeEntry.js'
import type { IntakeResolution } from './IntakeResolution.js'
import { isInScope } from './isInScope.js'

/**
 * Decides from the records about an id alone which submission is the job: the first one that no earlier
 * cancellation bars. Submissions of earlier versions come before all others, and any cancellation of an
 * earlier version counts as earlier.
 *
 * @param entries - in any order
 * @internal
 */
export function resolveIntake(entries: readonly IntakeEntry[]): IntakeResolution {
	const ordered = entries.length > 1 ? [...entries].sort(compareEntries) : entries
	const earlierScopes = entries.flatMap((entry) =>
		entry.kind === 'cancellation' && entry.isEarlierForm ? [entry.scope] : []
	)
	const barriers: CancellationScope[] = [...earlierScopes]
	let winner: IntakeResolution['job']
	let cancelled = false
	for (const entry of ordered) {
		if (entry.kind === 'submission') {
			if (winner) continue
			const { job } = entry
			const isBarred = barriers.some((scope) => isInScope(job, scope))
			if (isBarred && !entry.isEarlierForm) continue
			winner = job
			cancelled = isBarred
		} else if (!winner) {
			if (!entry.isEarlierForm) barriers.push(entry.scope)
		} else if (isInScope(winner, entry.scope)) cancelled = true
	}
	return { job: winner, cancelled, barriers }
}

function compareEntries(a: IntakeEntry, b: IntakeEntry): number {
	if (a.isEarlierForm !== b.isEarlierForm) return a.isEarlierForm ? -1 : 1
	if (a.stream !== b.stream)
		return intakeStreams.indexOf(a.stream) - intakeStreams.indexOf(b.stream)
	return a.offset - b.offset
}
