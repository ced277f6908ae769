import { createTestConfiguration } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'
import type { JobAnswer } from './JobAnswer.js'
import type { JobCaller } from './JobCaller.js'

const JOB = createTestFleet.createJob(1, [{ count: 1, lasting: true }])
const TASK = `${JOB.id}.0.0.0`
const queue = createTestConfiguration().queues.get('quotes')
if (!queue) throw new Error('the test configuration has no queue')
const owner: JobCaller = { team: JOB.team, queue }
const stranger: JobCaller = { team: 'strangers', queue }

// Guards against callers who read and cancel the jobs of other teams, for instance by a key that a new configuration
// has given to their team.
describe('a job of another team', () => {
	it.each([0, 1])(
		'is unknown to a caller of instance %i, and cannot be cancelled',
		async (index) => {
			const { ask, getIntake, fleet } = await createFixture()
			expect(await ask(getIntake(0).submit(JOB, getDeadline()))).toEqual({ kind: 'accepted' })
			const intake = getIntake(index)
			expect(await ask(intake.getState(JOB.id, getDeadline(), stranger))).toEqual({
				kind: 'unknown-job',
			})
			expect(await ask(intake.cancel(JOB.id, getDeadline(), stranger))).toEqual({
				kind: 'unknown-job',
			})
			await fleet.advance(1_000)
			expect(await ask(intake.getState(JOB.id, getDeadline(), owner))).toEqual({
				kind: 'state',
				state: 'running',
			})
			expect(fleet.journal.running).toEqual([TASK])
			expect(await ask(intake.cancel(JOB.id, getDeadline(), owner))).toEqual({ kind: 'cancelled' })

			function getDeadline(): number {
				return fleet.timers.now() + 2_000
			}
		}
	)

	it('is unknown to an instance that has just started, and to its own team it is not', async () => {
		const { ask, getIntake, fleet } = await createFixture()
		await ask(getIntake(0).submit(JOB, fleet.timers.now() + 2_000))
		fleet.restartInstance(1)
		await fleet.advance(1_000)
		const deadline = fleet.timers.now() + 2_000
		const [foreign, own] = [stranger, owner].map((caller) =>
			getIntake(1).getState(JOB.id, deadline, caller)
		)
		expect(await ask(foreign)).toEqual({ kind: 'unknown-job' })
		expect(await ask(own)).toMatchObject({ kind: 'state' })
	})

	it('keeps its id: a submission under it is refused, not answered as if it were accepted', async () => {
		const { ask, getIntake, fleet } = await createFixture()
		const deadline = fleet.timers.now() + 2_000
		await ask(getIntake(0).submit(JOB, deadline))
		const other = { ...JOB, team: stranger.team }
		expect(await ask(getIntake(0).submit(other, deadline))).toEqual({ kind: 'id-taken' })
		expect(await ask(getIntake(0).submit(JOB, deadline))).toEqual({ kind: 'accepted' })
	})

	it('is reached by all on a public queue', async () => {
		const { ask, getIntake, fleet } = await createFixture()
		const deadline = fleet.timers.now() + 2_000
		await ask(getIntake(0).submit(JOB, deadline))
		const caller = { team: '', queue: { ...queue, public: true } }
		expect(await ask(getIntake(0).getState(JOB.id, deadline, caller))).toMatchObject({
			kind: 'state',
		})
	})
})

describe('the cancelling of an unknown id', () => {
	it('binds the own team alone', async () => {
		const { ask, getIntake, fleet } = await createFixture()
		const deadline = fleet.timers.now() + 2_000
		await ask(getIntake(0).cancel(JOB.id, deadline, stranger))
		expect(await ask(getIntake(0).submit(JOB, deadline))).toEqual({ kind: 'accepted' })
		await fleet.advance(1_000)
		expect(fleet.journal.running).toEqual([TASK])
	})

	it('refuses a later submission truly', async () => {
		const { ask, getIntake, fleet } = await createFixture()
		await ask(getIntake(0).cancel(JOB.id, fleet.timers.now() + 2_000, owner))
		const answer = await ask(getIntake(0).submit(JOB, fleet.timers.now() + 2_000))
		expect(answer).toMatchObject({ kind: 'barred' })
		await fleet.advance(2_000)
		expect(fleet.journal.getRuns(TASK)).toEqual([])
	})

	it('is kept for each team when several cancel the same id', async () => {
		const { ask, getIntake, fleet } = await createFixture()
		await ask(getIntake(0).cancel(JOB.id, fleet.timers.now() + 2_000, owner))
		await ask(getIntake(1).cancel(JOB.id, fleet.timers.now() + 2_000, stranger))
		for (const index of fleet.instances.keys()) fleet.restartInstance(index)
		await fleet.advance(6_000)
		const answer = await ask(getIntake(0).submit(JOB, fleet.timers.now() + 2_000))
		expect(answer).toMatchObject({ kind: 'barred' })
	})
})

async function createFixture() {
	const fleet = createTestFleet({ instances: 2, backends: 2 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	await fleet.advance(1_000)
	const getIntake = (index: number) => {
		const intake = fleet.instances[index]?.daemon.intake
		if (!intake) throw new Error(`no instance ${index}`)
		return intake
	}
	const ask = async (answer: Promise<JobAnswer> | undefined) => {
		await fleet.advance(500)
		return answer
	}
	return { fleet, getIntake, ask }
}
