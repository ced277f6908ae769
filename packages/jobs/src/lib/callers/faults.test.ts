import { createTestJob } from '@mastichead/core'
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { JobRecords } from '../log/JobRecords.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import type { LogStream } from '../ports/LogStream.js'
import { createTestIntake } from '../testing/createTestIntake.js'
import type { JobAnswer } from './JobAnswer.js'

/** Time in which calls come and faults start, and time in which all calls must have ended, in milliseconds. */
const CALL_TIME = 3_000
const RECOVERY_TIME = 3_000
/** Time before the start of the instance, in which other instances wrote records, in milliseconds. */
const EARLIER_TIME = 500
/** Time after which a read of a silent stream fails, in milliseconds. */
const FAILURE_TIME = 900
/** Steps of virtual time that an answer may take after its deadline, in milliseconds. */
const ANSWER_SLACK = 2
/** Latencies of a call to the log, in milliseconds. */
const NORMAL_CALL_TIME = 4
const SLOW_CALL_TIME = 300
/** Number of jobs that other instances submit, and of those that only the calls submit. */
const JOBS = 4
const OWN_JOBS = 6
const RETRY_AFTER_SECONDS = 1
/** The same for an id that was cancelled before: until the cancellation is dropped. */
const BARRED_RETRY_AFTER_SECONDS = 180
const STREAMS: readonly LogStream[] = [...intakeStreams, 'progress']

const instant = fc.oneof(
	fc.integer({ min: -EARLIER_TIME, max: -1 }),
	fc.integer({ min: 0, max: CALL_TIME })
)
const jobArbitrary = fc.record({
	submittedAt: instant,
	stream: fc.constantFrom(...intakeStreams),
	cancelledAt: fc.option(instant, { nil: undefined, freq: 4 }),
	cancelStream: fc.constantFrom(...intakeStreams),
	completedAt: fc.option(instant, { nil: undefined, freq: 2 }),
})
const callArbitrary = fc.record({
	kind: fc.constantFrom('query' as const, 'cancel' as const, 'submit' as const, 'count' as const),
	at: fc.oneof(fc.integer({ min: 0, max: CALL_TIME / 2 }), fc.integer({ min: 0, max: CALL_TIME })),
	timeout: fc.oneof(fc.integer({ min: 0, max: 100 }), fc.integer({ min: 100, max: 2_850 })),
	job: fc.integer({ min: 0, max: JOBS + OWN_JOBS - 1 }),
	copies: fc.constantFrom(1, 2, 40),
})
const faultArbitrary = fc.record({
	kind: fc.constantFrom(
		'stream-silent' as const,
		'log-silent' as const,
		'answers-lost' as const,
		'log-slow' as const,
		'history-expired' as const
	),
	stream: fc.constantFrom(...STREAMS),
	at: fc.integer({ min: 0, max: CALL_TIME }),
	duration: fc.integer({ min: 50, max: 3_000 }),
})

/** A stream that does not answer in the first half of the calls. */
const START_FAULT = { kind: 'stream-silent' as const, at: 0, duration: CALL_TIME / 2 }

type JobPlan = typeof jobArbitrary extends fc.Arbitrary<infer T> ? T : never
type Call = typeof callArbitrary extends fc.Arbitrary<infer T> ? T : never
type Fault = typeof faultArbitrary extends fc.Arbitrary<infer T> ? T : never

// Guards against callers without an answer, and against answers that were never true since the instance started.
it('answers every caller truly and by its deadline, whatever of the log can be read', async () => {
	const scenario = fc.record({
		jobs: fc.array(jobArbitrary, { minLength: JOBS, maxLength: JOBS }),
		calls: fc.array(callArbitrary, { minLength: 1, maxLength: 25 }),
		faults: fc.array(faultArbitrary, { maxLength: 6 }),
		streamsDown: fc.subarray([...STREAMS], { maxLength: 2 }),
	})
	const property = fc.asyncProperty(scenario, async ({ jobs, calls, faults, streamsDown }) => {
		const startFaults = streamsDown.map((stream) => ({ ...START_FAULT, stream }))
		expect(await runScenario(jobs, calls, [...startFaults, ...faults])).toEqual([])
	})
	await fc.assert(property, { seed: 20261204, numRuns: 400 })
}, 240_000)

type TestIntake = ReturnType<typeof createTestIntake>

interface Submission {
	readonly id: string
	readonly answer: JobAnswer
}

/** Runs a scenario and returns the problems found. */
async function runScenario(
	plans: readonly JobPlan[],
	calls: readonly Call[],
	faults: readonly Fault[]
): Promise<string[]> {
	const test = createTestIntake()
	test.log.failureTime = FAILURE_TIME
	for (const [index, plan] of plans.entries()) scheduleJob(test, index, plan)
	await test.advance(EARLIER_TIME)
	const problems: string[] = []
	const submissions: Submission[] = []
	let answerCount = 0
	for (const injected of faults) scheduleFault(test, injected)
	for (const call of calls) {
		test.timers.after(call.at, () => {
			for (let copy = 0; copy < call.copies; copy += 1) {
				void checkCall(test, plans, call).then(({ answer, problem }) => {
					answerCount += 1
					if (problem !== undefined) problems.push(`${JSON.stringify(call)}: ${problem}`)
					if (call.kind === 'submit') submissions.push({ id: getJobId(call.job), answer })
				})
			}
		})
	}
	test.start()
	await test.advance(CALL_TIME + RECOVERY_TIME)
	const callCount = calls.reduce((sum, call) => sum + call.copies, 0)
	if (answerCount < callCount) problems.push(`${callCount - answerCount} calls without an answer`)
	return [...problems, ...findFalseRefusals(test, plans, submissions)]
}

/** Lets other instances submit a job, cancel it and complete it. */
function scheduleJob({ timers, store }: TestIntake, index: number, plan: JobPlan): void {
	const id = getJobId(index)
	const append = (
		at: number,
		stream: LogStream,
		record: ReturnType<typeof createJobRecord>
	): void => {
		timers.after(EARLIER_TIME + at, () => store.append(stream, [record]))
	}
	append(plan.submittedAt, plan.stream, createJobRecord(index))
	if (plan.cancelledAt !== undefined && plan.cancelledAt > plan.submittedAt) {
		append(plan.cancelledAt, plan.cancelStream, JobRecords.createCancelRecord(id))
	}
	if (plan.completedAt === undefined || plan.completedAt <= plan.submittedAt) return
	const snapshot = { state: 'completed', begun: true, finishedAt: 1, tasks: [] } as const
	append(plan.completedAt, 'progress', JobRecords.createProgressRecord(id, snapshot))
}

function scheduleFault({ timers, store, log }: TestIntake, injected: Fault): void {
	const { kind, stream, at, duration } = injected
	const apply = {
		'stream-silent': () => store.unavailableStreams.add(stream),
		'log-silent': () => (log.disconnected = true),
		'answers-lost': () => (log.losesAppendAnswers = true),
		'log-slow': () => (log.callLatency = SLOW_CALL_TIME),
		'history-expired': () => {
			store.compact(stream)
		},
	}[kind]
	const undo = {
		'stream-silent': () => store.unavailableStreams.delete(stream),
		'log-silent': () => (log.disconnected = false),
		'answers-lost': () => (log.losesAppendAnswers = false),
		'log-slow': () => (log.callLatency = NORMAL_CALL_TIME),
		'history-expired': () => undefined,
	}[kind]
	timers.after(at, () => void apply())
	timers.after(at + duration, () => void undo())
}

/** Makes a call; resolves to the answer and what is wrong with it. */
async function checkCall(
	test: TestIntake,
	plans: readonly JobPlan[],
	call: Call
): Promise<{ answer: JobAnswer; problem: string | undefined }> {
	const { timers } = test
	const deadline = timers.now() + call.timeout
	const wasSubmitted = isSubmitted(test, call.job)
	const answer = await makeCall(test, call, deadline)
	const lateness = timers.now() - deadline
	if (lateness > ANSWER_SLACK) return { answer, problem: `${lateness} ms late` }
	const retryAfter = answer.kind === 'barred' ? BARRED_RETRY_AFTER_SECONDS : RETRY_AFTER_SECONDS
	if ('retryAfterSeconds' in answer && answer.retryAfterSeconds !== retryAfter) {
		return { answer, problem: 'no time to come back' }
	}
	const isTrue = isTrueAnswer(test, plans, call.job, answer, wasSubmitted)
	return { answer, problem: isTrue ? undefined : `false: ${JSON.stringify(answer)}` }
}

function makeCall({ intake }: TestIntake, call: Call, deadline: number): Promise<JobAnswer> {
	switch (call.kind) {
		case 'query':
			return intake.getState(getJobId(call.job), deadline)
		case 'cancel':
			return intake.cancel(getJobId(call.job), deadline)
		case 'submit':
			return intake.submit(createJob(call.job), deadline)
		case 'count':
			return Promise.resolve(intake.countWaitingJobs(createJob(0).queue))
	}
}

/** Whether an answer was true at some time between the start of the instance and now. */
function isTrueAnswer(
	test: TestIntake,
	plans: readonly JobPlan[],
	index: number,
	answer: JobAnswer,
	wasSubmitted: boolean
): boolean {
	switch (answer.kind) {
		case 'accepted':
			return isSubmitted(test, index)
		case 'cancelled':
			return isCancelled(test, index) || isCompleted(test, index)
		case 'unknown-job':
			return !wasSubmitted
		case 'id-taken':
			return false
		case 'barred':
			return isCancelled(test, index)
		case 'waiting':
			return isTrueCount(test, plans, answer.count)
		case 'state':
			if (answer.state === 'completed') return isCompleted(test, index)
			if (answer.state === 'cancelled') {
				return isCancelled(test, index) && !wasCompletedBefore(plans[index])
			}
			return answer.state === 'queued' && isSubmitted(test, index) && !wasEndedBefore(plans[index])
		case 'refused':
		case 'unavailable':
		case 'unclear':
			return true
	}
}

/** Whether a count lies between the jobs that waited all the time and those that ever waited. */
function isTrueCount(test: TestIntake, plans: readonly JobPlan[], count: number): boolean {
	const indexes = Array.from({ length: JOBS + OWN_JOBS }, (_, index) => index)
	const mayWait = indexes.filter(
		(index) => isSubmitted(test, index) && !wasEndedBefore(plans[index])
	)
	const mustWait = mayWait.filter((index) => {
		const submittedAt = plans[index]?.submittedAt ?? Infinity
		return submittedAt < 0 && !isCancelled(test, index) && !isCompleted(test, index)
	})
	return mustWait.length <= count && count <= mayWait.length
}

/** Whether a job had ended before the instance started. */
function wasEndedBefore(plan: JobPlan | undefined): boolean {
	if (!plan) return false
	const ends = [plan.cancelledAt, plan.completedAt]
	return ends.some((end) => end !== undefined && end > plan.submittedAt && end < 0)
}

function wasCompletedBefore(plan: JobPlan | undefined): boolean {
	return wasEndedBefore(plan && { ...plan, cancelledAt: undefined })
}

function isRefusal({ kind }: JobAnswer): boolean {
	return kind === 'refused' || kind === 'barred'
}

/** A submission that is refused must not be stored, unless another call submitted the job as well. */
function findFalseRefusals(
	test: TestIntake,
	plans: readonly JobPlan[],
	submissions: readonly Submission[]
): string[] {
	const refusedIds = new Set(
		submissions.filter(({ answer }) => isRefusal(answer)).map(({ id }) => id)
	)
	for (const { id, answer } of submissions) if (!isRefusal(answer)) refusedIds.delete(id)
	for (const index of plans.keys()) refusedIds.delete(getJobId(index))
	return [...refusedIds]
		.filter((id) => hasLiveSubmission(test, id))
		.map((id) => `${id} is stored but was refused`)
}

/** Whether a submission of an id was ever stored. */
function isSubmitted(test: TestIntake, index: number): boolean {
	const id = getJobId(index)
	return hasRecord(test, (key) => key === `job/${id}` || key.startsWith(`submission/${id}/`))
}

function isCancelled(test: TestIntake, index: number): boolean {
	const id = getJobId(index)
	return hasRecord(test, (key) => key === `cancel/${id}` || key.startsWith(`cancellation/${id}/`))
}

function isCompleted(test: TestIntake, index: number): boolean {
	return hasRecord(test, (key) => key === getJobId(index))
}

function hasRecord({ store }: TestIntake, isMeant: (key: string) => boolean): boolean {
	return STREAMS.some((stream) => store.getEntries(stream).some(({ key }) => isMeant(key)))
}

/** Whether a submission of an id is stored and not withdrawn. */
function hasLiveSubmission({ store }: TestIntake, id: string): boolean {
	const newest = new Map<string, string | undefined>()
	for (const stream of intakeStreams)
		for (const { key, value } of store.getEntries(stream)) newest.set(key, value)
	return [...newest].some(
		([key, value]) => key.startsWith(`submission/${id}/`) && value !== undefined
	)
}

function getJobId(index: number): string {
	return `00000000000000a${index}`
}

function createJob(index: number): ReturnType<typeof createTestJob> {
	return createTestJob(getJobId(index), [{ count: 1 }], 0)
}

function createJobRecord(index: number): ReturnType<typeof JobRecords.createJobRecord> {
	return JobRecords.createJobRecord(createJob(index))
}
