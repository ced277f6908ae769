import { createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobRecords } from '../log/JobRecords.js'
import { createTestIntake } from '../testing/createTestIntake.js'

const JOB = createTestJob('00000000000000a1', [{ count: 1 }], 0)
/** Time after which a read of a silent stream fails, as with the platform's log, in milliseconds. */
const FAILURE_TIME = 900
const READ_TIME = 50

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
	expect(store.getEntries('intake/0').map(({ key }) => key)).toContain(`cancel/${JOB.id}`)
})

it('a submission of a known job is accepted and not written again', async () => {
	const { intake, store, timers, start, advance } = createTestIntake()
	store.append('intake/5', [JobRecords.createJobRecord(JOB)])
	start()
	await advance(READ_TIME)
	expect(await intake.submit(JOB, timers.now() + 2_000)).toEqual({ kind: 'accepted' })
	expect(store.getEnd('intake/0')).toBe(0)
})

// Guards against a second record of a job whose submission cannot be read but whose progress is known.
it('a submission of a job with known progress is accepted and not written again', async () => {
	const { intake, store, timers, start, advance } = createTestIntake()
	const snapshot = { state: 'running', begun: true, finishedAt: undefined, tasks: [] } as const
	store.append('progress', [JobRecords.createProgressRecord(JOB.id, snapshot)])
	store.unavailableStreams.add('intake/5')
	start()
	await advance(READ_TIME)
	expect(await intake.submit(JOB, timers.now() + 2_000)).toEqual({ kind: 'accepted' })
	expect(store.getEnd('intake/0')).toBe(0)
})
