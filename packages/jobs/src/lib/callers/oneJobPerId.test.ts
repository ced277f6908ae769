import type { Job } from '@mastichead/core'
import { createTestConfiguration } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { JobRecords } from '../log/JobRecords.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import type { JobAnswer } from './JobAnswer.js'
import type { JobCaller } from './JobCaller.js'

const JOB = createTestFleet.createJob(1, [{ count: 1, lasting: true }])
const TASK = `${JOB.id}.0.0.0`
const INSTANCES = 3
/** Time in which a caller needs an answer, and in which it has one from a log that answers, in milliseconds. */
const CALLER_TIMEOUT = 2_000
const ANSWER_TIME = 100
/** Time in which all instances read a record of a stream that they wait for, in milliseconds. */
const SETTLING_TIME = 50
/** Time in which an accepted job starts, in milliseconds. */
const START_TIME = 1_500
/** Time after which all instances have loaded everything and a new owner has begun, in milliseconds. */
const RESTART_TIME = 8_000
/** Milliseconds between two calls. */
const GAPS = [0, 1, 3, 5, 20, 100, 500, 900, 1_500]

const queue = createTestConfiguration().queues.get(JOB.queue)
if (!queue) throw new Error('the test configuration has no queue')

const competitors: readonly (readonly [string, Job])[] = [
	['of another team', { ...JOB, team: 'strangers' }],
	['of another queue', { ...JOB, queue: 'drafts' }],
	['of the same team with another body', { ...JOB, specification: 'another' }],
	['of the same team with other steps', { ...JOB, steps: JOB.steps.map(widen) }],
]

// Guards against an id that is two jobs: both callers were told 200, each saw its job at its own instance, and a
// start of all instances gave the id to the other one.
describe.each(competitors)('two submissions of one id, the second %s', (_, competitor) => {
	it.each(GAPS)('are one job, %i ms apart at two instances', async (gap) => {
		const fleet = await createFleet()
		const answers = [submit(fleet, 0, JOB)]
		await fleet.advance(gap)
		answers.push(submit(fleet, 1, competitor))
		await fleet.advance(ANSWER_TIME)
		const kinds = (await Promise.all(answers)).map(({ kind }) => kind)
		expect([...kinds].sort()).toEqual(['accepted', 'id-taken'])
		const accepted = kinds[0] === 'accepted' ? JOB : competitor
		const refused = kinds[0] === 'accepted' ? competitor : JOB
		await expectOnlyJob(fleet, accepted, refused)
		restartAll(fleet)
		await fleet.advance(RESTART_TIME)
		await expectOnlyJob(fleet, accepted, refused)
	})
})

it('two equal submissions of one id at two instances are both accepted, and are one job', async () => {
	const fleet = await createFleet()
	const answers = [submit(fleet, 0, JOB), submit(fleet, 1, { ...JOB, acceptedAt: 1 })]
	await fleet.advance(ANSWER_TIME)
	expect(await Promise.all(answers)).toEqual([{ kind: 'accepted' }, { kind: 'accepted' }])
	await fleet.advance(START_TIME)
	expect(fleet.journal.getRuns(TASK)).toHaveLength(1)
})

// Guards against a job that was accepted after the cancelling of its unknown id had been answered, and never ran.
describe('a submission after its own team cancelled the unknown id', () => {
	it.each(GAPS)('is refused truly by another instance, %i ms later', async (gap) => {
		const fleet = await createFleet()
		const cancelled = cancel(fleet, 0, JOB)
		await fleet.advance(ANSWER_TIME)
		expect(await cancelled).toEqual({ kind: 'unknown-job' })
		await fleet.advance(gap)
		const answer = submit(fleet, 1, JOB)
		await fleet.advance(ANSWER_TIME)
		expect(await answer).toMatchObject({ kind: 'barred' })
		restartAll(fleet)
		await fleet.advance(RESTART_TIME)
		expect(fleet.journal.getRuns(TASK)).toEqual([])
		expect(await getStates(fleet, JOB)).toEqual(Array(INSTANCES).fill({ kind: 'unknown-job' }))
	})

	it.each(GAPS)(
		'or is cancelled with 200 if it came first, when both come within %i ms',
		async (gap) => {
			const fleet = await createFleet()
			const submitted = submit(fleet, 1, JOB)
			await fleet.advance(gap)
			const cancelled = cancel(fleet, 0, JOB)
			await fleet.advance(ANSWER_TIME)
			const kinds = [(await submitted).kind, (await cancelled).kind]
			expect([
				['accepted', 'cancelled'],
				['barred', 'unknown-job'],
			]).toContainEqual(kinds)
			await fleet.advance(START_TIME)
			expect(fleet.journal.running).toEqual([])
		}
	)
})

// Guards against a job that is cancelled by a call through another queue of its team, which was answered 410.
it('cancelling through another queue of the team leaves the job alone', async () => {
	const fleet = await createFleet()
	const accepted = submit(fleet, 0, JOB)
	const cancelled = cancel(fleet, 1, { ...JOB, queue: 'drafts' })
	await fleet.advance(ANSWER_TIME)
	expect([await accepted, await cancelled]).toEqual([{ kind: 'accepted' }, { kind: 'unknown-job' }])
	restartAll(fleet)
	await fleet.advance(RESTART_TIME)
	await expectOnlyJob(fleet, JOB, { ...JOB, team: 'strangers' })
})

type TestFleet = ReturnType<typeof createTestFleet>

async function createFleet(): Promise<TestFleet> {
	const fleet = createTestFleet({ instances: INSTANCES, backends: 2, statusRetention: 60_000 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	await fleet.advance(3_000)
	// A record in each stream ends the reads that wait for one; the next ones come only after a while.
	const record = JobRecords.createCancelRecord('ffffffffffffffff')
	for (const stream of intakeStreams) fleet.store.append(stream, [record])
	await fleet.advance(SETTLING_TIME)
	return fleet
}

function widen(step: Job['steps'][number]): Job['steps'][number] {
	return { ...step, count: step.count + 1 }
}

function getIntake(fleet: TestFleet, index: number) {
	const intake = fleet.instances[index]?.daemon.intake
	if (!intake) throw new Error(`no instance ${index}`)
	return intake
}

function getCaller({ team, queue: name }: Job): JobCaller {
	const prefix = name === queue?.name ? queue : { host: 'drafts', pathPrefix: '/', public: false }
	return { team, queue: { ...prefix, name } }
}

function submit(fleet: TestFleet, index: number, job: Job): Promise<JobAnswer> {
	return getIntake(fleet, index).submit(job, fleet.timers.now() + CALLER_TIMEOUT)
}

function cancel(fleet: TestFleet, index: number, job: Job): Promise<JobAnswer> {
	const deadline = fleet.timers.now() + CALLER_TIMEOUT
	return getIntake(fleet, index).cancel(job.id, deadline, getCaller(job))
}

/** Returns what each instance answers to the caller of a job that asks for its state. */
async function getStates(fleet: TestFleet, job: Job): Promise<JobAnswer[]> {
	const answers = [...fleet.instances.keys()].map((index) =>
		getIntake(fleet, index).getState(job.id, fleet.timers.now() + CALLER_TIMEOUT, getCaller(job))
	)
	await fleet.advance(ANSWER_TIME)
	return Promise.all(answers)
}

function restartAll(fleet: TestFleet): void {
	for (const index of fleet.instances.keys()) fleet.restartInstance(index)
}

/** Expects that all instances know the accepted job alone, and that it runs. */
async function expectOnlyJob(fleet: TestFleet, accepted: Job, refused: Job): Promise<void> {
	await fleet.advance(START_TIME)
	const running = { kind: 'state', state: 'running' }
	expect(await getStates(fleet, accepted)).toEqual(Array(INSTANCES).fill(running))
	if (accepted.team !== refused.team || accepted.queue !== refused.queue) {
		const states = await getStates(fleet, refused)
		expect(states).toEqual(Array(INSTANCES).fill({ kind: 'unknown-job' }))
	}
	const tasks = accepted.steps.flatMap(({ count }) => Array.from({ length: count }, (_, i) => i))
	expect([...fleet.journal.running].sort()).toEqual(tasks.map((i) => `${accepted.id}.0.0.${i}`))
	const teams = fleet.instances.map(({ daemon }) => daemon.explain(accepted.id).team)
	expect(teams).toEqual(Array(INSTANCES).fill(accepted.team))
}
