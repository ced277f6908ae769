import type { RunEvent } from '@mastichead/standins'
import type { JobRecord } from './JobRecord.js'
import type { SoakRecord } from './SoakRecord.js'

/** Time without a fault before an absence that counts, in milliseconds. */
const CALM_BEFORE = 4_000
/** Time after its last run from which a lasting task must run again, in milliseconds. */
const RESTART_TIME = 6_000
/** Longest absence from then on, in milliseconds. */
const MAXIMUM_ABSENCE = 3_000
/** Share of its limit below which a team must get what its lasting tasks need. */
const LIMIT_SHARE = 0.5

interface Span {
	readonly from: number
	readonly to: number
}

/**
 * No lasting task of an accepted job stands without a run for 3 s from 6 s after its last run, while no
 * fault is active, none was for 4 s before, and its team uses less than half of its limit.
 *
 * @returns one line for each absence that is too long
 * @internal
 */
export function checkLastingTasks(record: SoakRecord): string[] {
	const calmTimes = findCalmTimes(record.faults)
	return record.jobs.flatMap((job) => {
		if (!job.lasting || job.acceptedAt === undefined) return []
		const tasks = Array.from({ length: job.tasks }, (_, index) => `${job.id}.0.0.${index}`)
		return tasks.flatMap((task) => {
			const events = record.runs.filter((event) => event.task === task)
			const absence = findAbsences(events, job)
				.flatMap((gap) => calmTimes.map((calm) => findDueTime(gap, calm, job)))
				.find(({ from, to }) => to - from > MAXIMUM_ABSENCE && isBelowLimit(record, from, to))
			if (!absence) return []
			return [`${task}: should have run from ${absence.from} on, and stood until ${absence.to}`]
		})
	})
}

/** Returns the part of an absence in which the task should have run; it may be empty. */
function findDueTime(gap: Span, calm: Span, { acceptedAt }: JobRecord): Span {
	// A task that has never run has no run to recover from.
	const dueAt = gap.from === acceptedAt ? gap.from : gap.from + RESTART_TIME
	const from = Math.max(dueAt, calm.from + CALM_BEFORE)
	return { from, to: Math.min(gap.to, calm.to) }
}

function findCalmTimes(faults: readonly Span[]): Span[] {
	const calmTimes: Span[] = []
	let from = -Infinity
	for (const fault of [...faults].sort((a, b) => a.from - b.from)) {
		if (fault.from > from) calmTimes.push({ from, to: fault.from })
		from = Math.max(from, fault.to)
	}
	return [...calmTimes, { from, to: Infinity }]
}

/** Returns the times without a run from the acceptance to the first request to cancel. */
function findAbsences(events: readonly RunEvent[], job: JobRecord): Span[] {
	const { acceptedAt = Infinity, cancelSentAt = Infinity } = job
	const absences: Span[] = []
	let from = acceptedAt
	for (const start of events.filter(({ kind }) => kind === 'started')) {
		const end = events.find(({ kind, attempt }) => kind === 'ended' && attempt === start.attempt)
		if (start.at > from) absences.push({ from, to: Math.min(start.at, cancelSentAt) })
		from = Math.max(from, end?.at ?? Infinity)
	}
	return [...absences, { from, to: cancelSentAt }]
}

/** Whether the team used less than half of its limit all the time. */
function isBelowLimit({ runs, taskCpu, cpuLimit }: SoakRecord, from: number, to: number): boolean {
	if (cpuLimit === 0) return true
	const running = new Set<string>()
	const isBelow = (): boolean => running.size * taskCpu < cpuLimit * LIMIT_SHARE
	for (const { kind, task, attempt, at } of [...runs].sort((a, b) => a.at - b.at)) {
		if (at > to) break
		if (at >= from && !isBelow()) return false
		if (kind === 'started') running.add(`${task}/${attempt}`)
		if (kind === 'ended') running.delete(`${task}/${attempt}`)
	}
	return isBelow()
}
