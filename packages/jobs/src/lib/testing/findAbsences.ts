/** Time without a fault that precedes an absence that counts, in milliseconds. */
const CALM_BEFORE = 4_000
/** Time after its last run from which a lasting task must run again, in milliseconds. */
const RESTART_TIME = 6_000
/** Longest absence from then on, in milliseconds. */
const MAXIMUM_ABSENCE = 3_000

interface Span {
	readonly from: number
	readonly to: number
}

/**
 * Finds the times in which a lasting task stood without a run for too long: 3 s that begin at least 6 s
 * after its last run, in which no fault is active, and before which none was for 4 s.
 *
 * @param options.runs - runs of the task in the order of their starts
 * @param options.faults - times in which faults were active
 * @param options.acceptedAt - when the job was accepted, in milliseconds
 * @param options.until - end of the time that is examined, in milliseconds
 * @returns the absences that are too long, from the end of the run before to the next start
 * @internal
 */
export function findAbsences(options: {
	readonly runs: readonly { readonly startedAt: number; readonly endedAt: number | undefined }[]
	readonly faults: readonly Span[]
	readonly acceptedAt: number
	readonly until: number
}): Span[] {
	const { runs, faults, acceptedAt, until } = options
	const calmTimes = findCalmTimes(faults, until)
	return findGaps(runs, acceptedAt, until).filter((gap) => {
		// A task that has never run has no run to recover from.
		const dueAt = gap.from === acceptedAt ? acceptedAt : gap.from + RESTART_TIME
		return calmTimes.some((calm) => {
			const absentFrom = Math.max(dueAt, calm.from + CALM_BEFORE)
			return Math.min(gap.to, calm.to) > absentFrom + MAXIMUM_ABSENCE
		})
	})
}

function findCalmTimes(faults: readonly Span[], until: number): Span[] {
	const calmTimes: Span[] = []
	let from = 0
	for (const fault of [...faults].sort((a, b) => a.from - b.from)) {
		if (fault.from > from) calmTimes.push({ from, to: fault.from })
		from = Math.max(from, fault.to)
	}
	if (until > from) calmTimes.push({ from, to: until })
	return calmTimes
}

function findGaps(
	runs: readonly { readonly startedAt: number; readonly endedAt: number | undefined }[],
	acceptedAt: number,
	until: number
): Span[] {
	const gaps: Span[] = []
	let from = acceptedAt
	for (const { startedAt, endedAt } of runs) {
		if (startedAt > from) gaps.push({ from, to: startedAt })
		from = Math.max(from, endedAt ?? until)
	}
	if (until > from) gaps.push({ from, to: until })
	return gaps
}
