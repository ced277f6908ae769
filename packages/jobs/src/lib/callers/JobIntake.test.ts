import type { JobState } from '@mastichead/core'
import { createTestJob } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { getHomeStream } from '../intake/getHomeStream.js'
import { JobRecords } from '../log/JobRecords.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import { createTestIntake } from '../testing/createTestIntake.js'
import type { JobAnswer } from './JobAnswer.js'

const JOB = createTestJob('00000000000000a1', [{ count: 1 }], 0)
const QUEUE = JOB.queue
const UNKNOWN_ID = '00000000000000ff'
const UNAVAILABLE = { kind: 'unavailable', retryAfterSeconds: 1 }
/** Time after which a read of a silent stream fails, as with the platform's log, in milliseconds. */
const FAILURE_TIME = 900
/** Time in which all streams of a log that answers are loaded or read to their ends, in milliseconds. */
const READ_TIME = 50

describe('many queries at once', () => {
	// Guards against reads of the log that queries make one after the other, each waiting for all before it.
	it('share two reads of each stream, one in flight and one for those who came later', async () => {
		const { intake, log, timers, start, advance } = createTestIntake()
		start()
		await advance(READ_TIME)
		log.readCounts.clear()
		const answers = collect(
			Array.from({ length: 300 }, () => intake.getState(UNKNOWN_ID, timers.now() + 2_000))
		)
		await advance(READ_TIME)
		expect(answers).toHaveLength(300)
		expect(answers).toContainEqual({ kind: 'unknown-job' })
		expect(Math.max(...log.readCounts.values())).toBeLessThanOrEqual(2)
	})

	// Guards against callers without an answer: 876 queries of the incident waited for reads that timed out.
	it('are answered by their deadlines while the log is out of reach', async () => {
		const { intake, log, timers, start, advance } = createTestIntake()
		log.failureTime = FAILURE_TIME
		start()
		await advance(READ_TIME)
		log.disconnected = true
		const deadline = timers.now() + 500
		const answers = collect([
			...Array.from({ length: 50 }, () => intake.getState(UNKNOWN_ID, deadline)),
			...Array.from({ length: 50 }, () => intake.cancel(UNKNOWN_ID, deadline)),
		])
		await advance(500)
		expect(answers).toHaveLength(100)
		for (const answer of answers) expect(answer).toMatchObject(UNAVAILABLE)
	})

	// Guards against a second load of a stream beside the first, which halves what a narrow link gives to each.
	it('cause no further load of a stream that is being loaded', async () => {
		const { intake, log, timers, start, advance } = createTestIntake()
		start()
		const answers = collect([1, 2, 3].map(() => intake.getState(UNKNOWN_ID, timers.now() + 2_000)))
		await advance(READ_TIME)
		expect(answers).toEqual([1, 2, 3].map(() => ({ kind: 'unknown-job' })))
		expect(Math.max(...log.loadCounts.values())).toBe(1)
	})
})

describe('a query while one intake stream does not answer', () => {
	// Guards against a job that was found but not reported until the silent stream's read had timed out.
	it('finds at once a job that another instance wrote to another stream', async () => {
		const { intake, log, store, timers, start, advance } = createTestIntake()
		log.failureTime = FAILURE_TIME
		start()
		await advance(READ_TIME)
		store.unavailableStreams.add('intake/3')
		store.append('intake/1', [JobRecords.createJobRecord(JOB)])
		const answers = collect([intake.getState(JOB.id, timers.now() + 2_000)])
		await advance(READ_TIME)
		expect(answers).toEqual([{ kind: 'state', state: 'queued' }])
	})

	// Guards against a refusal that is known for certain and still held for the time of a read that fails.
	it('is refused at once if the stream was never loaded', async () => {
		const { intake, log, store, timers, start, advance } = createTestIntake()
		log.failureTime = FAILURE_TIME
		store.unavailableStreams.add('intake/3')
		start()
		await advance(FAILURE_TIME + READ_TIME)
		const answers = collect([intake.getState(UNKNOWN_ID, timers.now() + 2_000)])
		await advance(READ_TIME)
		expect(answers).toEqual([expect.objectContaining(UNAVAILABLE)])
	})

	// Guards against 503 for a job whose state is on record, only because its submission cannot be read.
	it('answers with the recorded state of a job whose submission cannot be read', async () => {
		const { intake, log, store, timers, start, advance } = createTestIntake()
		log.failureTime = FAILURE_TIME
		store.append('intake/3', [JobRecords.createJobRecord(JOB)])
		store.append('progress', [createProgressRecord('completed')])
		store.unavailableStreams.add('intake/3')
		start()
		await advance(READ_TIME)
		const answers = collect([intake.getState(JOB.id, timers.now() + 2_000)])
		await advance(READ_TIME)
		expect(answers).toEqual([{ kind: 'state', state: 'completed' }])
	})

	// Guards against "running" for a job whose cancellation was acknowledged and has not been read.
	it('is refused if a cancellation may be on a stream that was never loaded', async () => {
		const { intake, log, store, timers, start, advance } = createTestIntake()
		log.failureTime = FAILURE_TIME
		store.append('intake/0', [JobRecords.createJobRecord(JOB)])
		store.append('progress', [createProgressRecord('running')])
		store.append('intake/3', [JobRecords.createCancelRecord(JOB.id)])
		store.unavailableStreams.add('intake/3')
		start()
		await advance(FAILURE_TIME + READ_TIME)
		const answers = collect([intake.getState(JOB.id, timers.now() + 2_000)])
		await advance(READ_TIME)
		expect(answers).toEqual([expect.objectContaining(UNAVAILABLE)])
	})
})

describe('while the progress stream was never loaded', () => {
	// Guards against "queued" for a job that has completed.
	it('the state of a known job is not given, and the caller is told to come back', async () => {
		const { intake, timers, advance } = await createIntakeWithoutProgress()
		const answers = collect([intake.getState(JOB.id, timers.now() + 2_000)])
		await advance(READ_TIME)
		expect(answers).toEqual([expect.objectContaining(UNAVAILABLE)])
	})

	// Guards against a count of waiting jobs that includes all jobs that have started or ended.
	it('waiting jobs are not counted', async () => {
		const { intake } = await createIntakeWithoutProgress()
		expect(intake.countWaitingJobs(QUEUE)).toMatchObject(UNAVAILABLE)
	})
})

// Guards against a count from part of the jobs.
it('waiting jobs are not counted while an intake stream was never loaded', async () => {
	const { intake, store, start, advance } = createTestIntake()
	store.append('intake/3', [JobRecords.createJobRecord(JOB)])
	store.unavailableStreams.add('intake/3')
	start()
	await advance(READ_TIME)
	expect(intake.countWaitingJobs(QUEUE)).toMatchObject(UNAVAILABLE)
})

// Guards against a repeated submission that ends with the first one's deadline.
it('a repeated submission waits until its own deadline', async () => {
	const { intake, log, timers, start, advance } = createTestIntake()
	start()
	await advance(READ_TIME)
	log.callLatency = 40
	const answers = collect([
		intake.submit(JOB, timers.now() + 10),
		intake.submit(JOB, timers.now() + 2_000),
	])
	await advance(20)
	expect(answers).toEqual([{ kind: 'unclear', reason: 'no answer in time' }])
	await advance(80)
	expect(answers[1]).toEqual({ kind: 'accepted' })
})

// Guards against 410 for a job that another instance has accepted on a stream that this one cannot read.
it('a job that may be on a stream out of reach is not reported as unknown, and is found later', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	log.failureTime = FAILURE_TIME
	start()
	await advance(READ_TIME)
	store.append('intake/4', [JobRecords.createJobRecord(JOB)])
	store.unavailableStreams.add('intake/4')
	const first = intake.getState(JOB.id, timers.now() + 2_000)
	await advance(2_000)
	expect(await first).toMatchObject({ kind: 'unavailable', retryAfterSeconds: 1 })
	store.unavailableStreams.delete('intake/4')
	await advance(3_000)
	const second = intake.getState(JOB.id, timers.now() + 2_000)
	await advance(READ_TIME)
	expect(await second).toEqual({ kind: 'state', state: 'queued' })
})

it('a job that was never submitted is reported as unknown, also if a record cancels it', async () => {
	const { intake, store, timers, start, advance } = createTestIntake()
	store.append('intake/2', [JobRecords.createCancelRecord(JOB.id)])
	start()
	await advance(READ_TIME)
	const answer = intake.getState(JOB.id, timers.now() + 2_000)
	await advance(READ_TIME)
	expect(await answer).toEqual({ kind: 'unknown-job' })
})

it('a known job is cancelled durably while the progress stream was never loaded', async () => {
	const { intake, store, timers, start, advance } = createTestIntake()
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	store.unavailableStreams.add('progress')
	start()
	await advance(READ_TIME)
	const answer = intake.cancel(JOB.id, timers.now() + 2_000)
	await advance(READ_TIME)
	expect(await answer).toEqual({ kind: 'cancelled' })
	const keys = store.getEntries(getHomeStream(JOB.id)).map(({ key }) => key)
	expect(keys).toEqual([expect.stringMatching(`^cancellation/${JOB.id}/`)])
})

it('a submission of a known job is accepted and not written again', async () => {
	const { intake, store, timers, start, advance } = createTestIntake()
	store.append('intake/5', [JobRecords.createJobRecord(JOB)])
	start()
	await advance(READ_TIME)
	expect(await intake.submit(JOB, timers.now() + 2_000)).toEqual({ kind: 'accepted' })
	expect(store.getEnd('intake/0')).toBe(0)
})

// Guards against a second record of a job whose submission cannot be read but whose progress is known, and
// against 200 for a caller whose job that may not be.
it('a submission of an id whose job is not known but has progress is refused, and not written', async () => {
	const { intake, store, timers, start, advance } = createTestIntake()
	const snapshot = { state: 'running', begun: true, finishedAt: undefined, tasks: [] } as const
	store.append('progress', [JobRecords.createProgressRecord(JOB.id, snapshot)])
	store.unavailableStreams.add('intake/5')
	start()
	await advance(READ_TIME)
	const answers = collect([intake.submit(JOB, timers.now() + 2_000)])
	await advance(READ_TIME)
	expect(answers).toEqual([expect.objectContaining({ kind: 'refused', retryAfterSeconds: 1 })])
	for (const stream of intakeStreams) expect(store.getEnd(stream)).toBe(0)
})

// Guards against one read of the progress stream for each query, and timers that outlive the queries.
it('many queries share the read that brings the state of known jobs up to date, and leave no timers behind', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	start()
	await advance(READ_TIME)
	log.readCounts.clear()
	const pendingBefore = timers.pendingCount
	const answers = collect(
		Array.from({ length: 300 }, () => intake.getState(JOB.id, timers.now() + 2_000))
	)
	await advance(READ_TIME)
	expect(answers).toHaveLength(300)
	expect(log.readCounts.get('progress')).toBeLessThanOrEqual(2)
	expect(timers.pendingCount).toBe(pendingBefore)
})

// Guards against an answer from a read that looked before the query came, and so missed what was written by then.
it('a query that comes during a read of the progress is answered from a later read', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	start()
	await advance(READ_TIME)
	log.answerTime = 20
	const first = collect([intake.getState(JOB.id, timers.now() + 2_000)])
	await advance(10)
	const snapshot = { state: 'completed', begun: true, finishedAt: 1, tasks: [] } as const
	store.append('progress', [JobRecords.createProgressRecord(JOB.id, snapshot)])
	const second = collect([intake.getState(JOB.id, timers.now() + 2_000)])
	await advance(READ_TIME)
	expect(first).toEqual([{ kind: 'state', state: 'queued' }])
	expect(second).toEqual([{ kind: 'state', state: 'completed' }])
})

// Guards against jobs that wait for the load of an instance which has just started, although an owner could run them.
it('a submission is stored while the instance is still loading, and answered when it knows what came before', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	const home = getHomeStream(JOB.id)
	log.transferTime = 200
	start()
	const answers = collect([intake.submit(JOB, timers.now() + 2_000)])
	await advance(READ_TIME)
	expect(store.getEnd(home)).toBe(1)
	expect(answers).toEqual([])
	await advance(1_000)
	expect(answers).toEqual([{ kind: 'accepted' }])
	expect(store.getEnd(home)).toBe(1)
})

async function createIntakeWithoutProgress(): Promise<ReturnType<typeof createTestIntake>> {
	const testIntake = createTestIntake()
	const { log, store, start, advance } = testIntake
	log.failureTime = FAILURE_TIME
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	store.append('progress', [createProgressRecord('completed')])
	store.unavailableStreams.add('progress')
	start()
	await advance(FAILURE_TIME + READ_TIME)
	return testIntake
}

function createProgressRecord(state: JobState): ReturnType<typeof JobRecords.createProgressRecord> {
	return JobRecords.createProgressRecord(JOB.id, {
		state,
		begun: true,
		finishedAt: state === 'completed' ? 1 : undefined,
		tasks: [],
	})
}

/** Returns the answers that have come so far. */
function collect(promises: readonly Promise<JobAnswer>[]): JobAnswer[] {
	const answers: JobAnswer[] = []
	for (const promise of promises) void promise.then((answer) => answers.push(answer))
	return answers
}
