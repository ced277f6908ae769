import type { RunEvent } from '@mastichead/standins'
import type { CallRecord } from './CallRecord.js'
import { checkLastingTasks } from './checkLastingTasks.js'
import type { SoakRecord } from './SoakRecord.js'

/** Time that callers wait for an answer, in milliseconds. */
const CALL_TIMEOUT = 3_000
/** Bound of an answer after its timeout, in milliseconds. */
const LATE_BOUND = 500
/** Time after which a withdrawn key must not work anywhere, in milliseconds. */
const KEY_BOUND = 5_000
/** Time after a disturbance in which an instance may still be late or behind, in milliseconds. */
const RECOVERY_TIME = 3_000
/** How a run ends whose server crashes. */
const CRASH = 'lost'
/** Crashes of servers under a task after which its job may be shown as failed. */
const CRASHES_TO_FAIL = 2
/** Crashes under a task that causes them after which it must not be started this many times more. */
const CRASHES_BEFORE_LAST_STARTS = 3
const FORBIDDEN_STARTS = 3
/** Share by which a team may exceed its limit for a moment. */
const LIMIT_BURST = 0.1

/**
 * Checks what callers and backend servers saw against the promises to them. Shares no code with the
 * product.
 *
 * @returns one line for each broken promise
 * @public
 */
export function checkRecord(record: SoakRecord): string[] {
	return [
		...checkRuns(record.runs),
		...checkJobs(record),
		...checkCrashes(record),
		...checkLastingTasks(record),
		...checkLimit(record),
		...checkCalls(record),
	]
}

/**
 * No two runs of a task at the same time, and none after its end was taken note of. An end whose
 * server lost its lease before the acknowledgement may have been given up.
 */
function checkRuns(events: readonly RunEvent[]): string[] {
	const problems: string[] = []
	for (const [task, ofTask] of groupByTask(events)) {
		const open = new Map<number, RunEvent>()
		const doneEnds = ofTask.filter(({ kind, ending }) => kind === 'ended' && ending === 'done')
		for (const event of ofTask) {
			if (event.kind === 'ended') open.delete(event.attempt)
			if (event.kind !== 'started') continue
			for (const other of open.values())
				problems.push(`${task}: attempt ${event.attempt} began while ${other.attempt} ran`)
			open.set(event.attempt, event)
			const before = doneEnds.find((end) => end.at < event.at && isAcknowledged(end, ofTask))
			if (before) problems.push(`${task}: attempt ${event.attempt} began after the end of another`)
		}
	}
	return problems
}

function isAcknowledged(end: RunEvent, events: readonly RunEvent[]): boolean {
	return events.some(
		({ kind, attempt, leaseLapsed }) =>
			kind === 'acknowledged' && attempt === end.attempt && !leaseLapsed
	)
}

function isStillRunning(events: readonly RunEvent[]): boolean {
	const count = (kind: RunEvent['kind']) => events.filter((event) => event.kind === kind).length
	return count('started') > count('ended')
}

function groupByTask(events: readonly RunEvent[]): Map<string, RunEvent[]> {
	const groups = new Map<string, RunEvent[]>()
	for (const event of sortEvents(events)) {
		const group = groups.get(event.task)
		if (group) group.push(event)
		else groups.set(event.task, [event])
	}
	return groups
}

/**
 * Sorts events by their time. An end is noticed later than it happens, so that it may follow a later start in
 * the list; of one time, ends come first, but not before the starts of their own runs.
 */
function sortEvents(events: readonly RunEvent[]): RunEvent[] {
	const starts = new Set(events.filter(({ kind }) => kind === 'started').map(formatInstant))
	const rank = (event: RunEvent): number => {
		if (event.kind === 'started') return 1
		return event.kind === 'ended' && starts.has(formatInstant(event)) ? 2 : 0
	}
	return [...events].sort((a, b) => a.at - b.at || rank(a) - rank(b))
}

/** Formats the run of an event and its time. */
function formatInstant({ task, attempt, at }: RunEvent): string {
	return `${task}/${attempt}@${at}`
}

/** No accepted job is lost, none is shown as completed too early, and "not run" is true. */
function checkJobs({ jobs, runs }: SoakRecord): string[] {
	const problems: string[] = []
	const groups = groupByTask(runs)
	for (const job of jobs) {
		const ofJob = [...groups].filter(([task]) => task.startsWith(`${job.id}.`))
		if (job.refused && ofJob.length > 0) problems.push(`${job.id}: ran, but was refused as not run`)
		// A task under which two servers have crashed may be given up.
		const mayFail = ofJob.some(([, events]) => countCrashes(events) >= CRASHES_TO_FAIL)
		const isGivenUp = job.state === 'failed' && mayFail
		const isFinal = job.state === 'completed' || job.state === 'cancelled' || isGivenUp
		if (job.acceptedAt !== undefined && !isFinal)
			problems.push(`${job.id}: accepted, but at the end it is ${job.state ?? 'unknown'}`)
		if (job.state === 'cancelled' && job.cancelledAt === undefined)
			problems.push(`${job.id}: cancelled, but nobody asked for it`)
		if (job.state === 'cancelled' && ofJob.some(([, events]) => isStillRunning(events)))
			problems.push(`${job.id}: cancelled, but a task still runs at the end`)
		const { completedAt } = job
		if (completedAt === undefined) continue
		const done = ofJob.filter(([, events]) =>
			events.some(({ ending, at }) => ending === 'done' && at <= completedAt)
		)
		if (done.length < job.tasks)
			problems.push(`${job.id}: completed with ${done.length} of ${job.tasks} tasks done`)
	}
	return problems
}

/** A task that crashes servers is started less than three times after three of them have crashed under it. */
function checkCrashes({ jobs, runs }: SoakRecord): string[] {
	const crashing = jobs.filter((job) => job.crashing)
	return [...groupByTask(runs)].flatMap(([task, events]) => {
		if (!crashing.some(({ id }) => task.startsWith(`${id}.`))) return []
		const third = events.filter(({ ending }) => ending === CRASH)[CRASHES_BEFORE_LAST_STARTS - 1]
		const later = events.filter(({ kind, at }) => kind === 'started' && third && at > third.at)
		if (later.length < FORBIDDEN_STARTS) return []
		return [`${task}: ${later.length} starts after ${CRASHES_BEFORE_LAST_STARTS} crashes under it`]
	})
}

function countCrashes(events: readonly RunEvent[]): number {
	return events.filter(({ ending }) => ending === CRASH).length
}

/** The team never has more running than its limit, with a burst and one task more. */
function checkLimit({ runs, taskCpu, cpuLimit }: SoakRecord): string[] {
	if (cpuLimit === 0) return []
	const running = new Set<string>()
	const allowed = (cpuLimit * (1 + LIMIT_BURST)) / taskCpu + 1
	for (const { kind, task, attempt } of sortEvents(runs)) {
		if (kind === 'started') running.add(`${task}/${attempt}`)
		if (kind === 'ended') running.delete(`${task}/${attempt}`)
		if (running.size > allowed) return [`${running.size} tasks ran, the limit allows ${allowed}`]
	}
	return []
}

/** Every answer comes in time, and no withdrawn key is in force, at instances in touch. */
function checkCalls(record: SoakRecord): string[] {
	const problems: string[] = []
	for (const call of record.calls) {
		if (isDisturbed(record, call)) continue
		const duration = call.endedAt - call.sentAt
		if (duration > CALL_TIMEOUT + LATE_BOUND)
			problems.push(`${call.method} at instance ${call.instance} took ${duration} ms`)
		const withdrawn = record.withdrawals.find(({ key }) => key === call.key)
		if (withdrawn && call.status === 200 && call.sentAt > withdrawn.at + KEY_BOUND)
			problems.push(
				`${call.key} was accepted ${call.sentAt - withdrawn.at} ms after its withdrawal`
			)
	}
	return problems
}

function isDisturbed({ disturbances }: SoakRecord, call: CallRecord): boolean {
	return disturbances.some(
		({ instance, from, to }) =>
			instance === call.instance && from <= call.endedAt && call.sentAt <= to + RECOVERY_TIME
	)
}
