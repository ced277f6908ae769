import type { JobStep } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import type { BackendOrderResult } from '../ports/BackendOrderResult.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryEventLog } from '../testing/MemoryEventLog.js'

/** Time by which a begun job no longer counts as waiting, and one that has not begun does, in milliseconds. */
const VISIBLE_TIME = 3_000
/** Time between two looks at the counts, in milliseconds. */
const LOOK_INTERVAL = 20
/** Time in which an instance becomes the owner, in milliseconds. */
const START_TIME = 1_000

const refusals: readonly BackendOrderResult[] = [
	{ kind: 'unhealthy', detail: 'status 503' },
	{ kind: 'refused', reason: 'room', clock: 1 },
	{ kind: 'invalid', detail: 'status 400' },
	{ kind: 'unknown', detail: 'no answer' },
]

// Guards against jobs that are answered `running`, and are missing from `waiting`, although no backend server
// has begun a run of them: a placement in the log, whose start order was refused, counted as a start.
describe('a job of which no server has begun a run', () => {
	it.each(refusals)('counts as waiting at each instance: $kind', async (refusal) => {
		const { fleet, id, events } = await createRefusedJob(refusal)
		for (let time = 0; time < 6_000; time += LOOK_INTERVAL) {
			await fleet.advance(LOOK_INTERVAL)
			expect(countWaiting(fleet)).toEqual([1, 1, 1])
		}
		expect(await getStates(fleet, id)).toEqual(['queued', 'queued', 'queued'])
		expect(findStates(events)).toEqual([])
		for (const backend of fleet.backends.values()) backend.startRefusal = undefined
		await fleet.advance(VISIBLE_TIME)
		expect(countWaiting(fleet)).toEqual([0, 0, 0])
		expect(findStates(events)).toEqual(['running', 'completed'])
	})

	it('counts as waiting if its start orders stay unanswered and are not carried out', async () => {
		const { fleet, submit } = await createFleet()
		for (const { backendClient } of fleet.instances) backendClient.startDelay = 1_000_000
		submit([{ count: 1 }])
		await fleet.advance(VISIBLE_TIME)
		for (let time = 0; time < 6_000; time += LOOK_INTERVAL) {
			await fleet.advance(LOOK_INTERVAL)
			expect(countWaiting(fleet)).toEqual([1, 1, 1])
		}
	})

	it('counts as waiting after a restart of all instances', async () => {
		const { fleet } = await createRefusedJob({ kind: 'unhealthy', detail: 'status 503' })
		for (const index of fleet.instances.keys()) fleet.restartInstance(index)
		await fleet.advance(VISIBLE_TIME)
		expect(countWaiting(fleet)).toEqual([1, 1, 1])
	})
})

describe('a job of which a server has begun a run', () => {
	it('does not count as waiting again after its runs are broken off', async () => {
		const { fleet, submit } = await createFleet()
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		submit([{ count: 1, lasting: true }])
		await fleet.advance(VISIBLE_TIME)
		expect(countWaiting(fleet)).toEqual([0, 0, 0])
		for (const backend of fleet.backends.values()) {
			backend.startRefusal = { kind: 'unhealthy', detail: 'status 503' }
			backend.restart()
			fleet.register(backend)
		}
		await fleet.advance(6_000)
		expect(fleet.journal.running).toEqual([])
		expect(countWaiting(fleet)).toEqual([0, 0, 0])
	})

	it('does not count as waiting if one of its tasks has begun', async () => {
		const { fleet, submit } = await createFleet()
		for (const backend of fleet.backends.values()) {
			backend.getRunDuration = () => undefined
			backend.onStart = () => {
				for (const other of fleet.backends.values())
					other.startRefusal = { kind: 'unhealthy', detail: 'status 503' }
			}
		}
		submit([{ count: 2, lasting: true }])
		await fleet.advance(VISIBLE_TIME)
		expect(fleet.journal.running).toHaveLength(1)
		expect(countWaiting(fleet)).toEqual([0, 0, 0])
	})

	it('does not count as waiting if its run has ended before the next listing', async () => {
		const { fleet, submit } = await createFleet()
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => 1
		submit([{ count: 1 }])
		await fleet.advance(VISIBLE_TIME)
		expect(countWaiting(fleet)).toEqual([0, 0, 0])
	})

	it.each([0, 2, 4, 6, 8, 10, 12, 14, 20, 40, 100, 150, 190, 200, 210, 220, 250, 400])(
		'is counted right within the visible time if its owner ends %i ms after the submission',
		async (delay) => {
			const { fleet, submit } = await createFleet()
			for (const backend of fleet.backends.values()) backend.getRunDuration = () => 20_000
			const task = submit([{ count: 1 }])
			await fleet.advance(delay)
			fleet.instances.find(({ daemon }) => daemon.isOwner)?.timers.kill()
			let wrongTime = 0
			for (let time = 0; time < 10_000; time += LOOK_INTERVAL) {
				await fleet.advance(LOOK_INTERVAL)
				const expected = fleet.journal.getRuns(task).length === 0 ? 1 : 0
				const counts = countWaiting(fleet).slice(1)
				wrongTime = counts.every((count) => count === expected) ? 0 : wrongTime + LOOK_INTERVAL
				expect(wrongTime).toBeLessThanOrEqual(VISIBLE_TIME)
			}
			expect(fleet.journal.getRuns(task)).toHaveLength(1)
			expect(wrongTime).toBe(0)
		}
	)
})

type TestFleet = ReturnType<typeof createTestFleet>

/** Creates a fleet of three instances, of which the first is the owner. */
async function createFleet() {
	const events = new MemoryEventLog()
	const fleet = createTestFleet({ instances: 3, backends: 2, events })
	await fleet.advance(START_TIME)
	expect(fleet.instances.map(({ daemon }) => daemon.isOwner)).toEqual([true, false, false])
	/** Hands a job in at the last instance. Returns its first task. */
	const submit = (steps: readonly Partial<JobStep>[]): string => {
		const job = createTestFleet.createJob(1, steps)
		void fleet.instances[2]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		return `${job.id}.0.0.0`
	}
	return { fleet, events, submit }
}

/** Creates a fleet with an accepted job of one task, whose start orders all servers refuse. */
async function createRefusedJob(refusal: BackendOrderResult) {
	const { fleet, events, submit } = await createFleet()
	for (const backend of fleet.backends.values()) backend.startRefusal = refusal
	const id = submit([{ count: 1 }]).slice(0, 16)
	await fleet.advance(VISIBLE_TIME)
	return { fleet, events, id }
}

function countWaiting({ instances }: TestFleet): (number | undefined)[] {
	return instances.map(({ daemon }) => {
		const answer = daemon.intake.countWaitingJobs('quotes')
		return answer.kind === 'waiting' ? answer.count : undefined
	})
}

async function getStates(fleet: TestFleet, id: string): Promise<(string | undefined)[]> {
	const { instances, timers } = fleet
	const answers = instances.map(({ daemon }) => daemon.intake.getState(id, timers.now() + 1_000))
	await fleet.advance(1_000)
	return (await Promise.all(answers)).map((answer) =>
		answer.kind === 'state' ? answer.state : answer.kind
	)
}

/** Returns the states of jobs that the lines report. */
function findStates(events: MemoryEventLog): unknown[] {
	return events.get('job-state').map(({ state }) => state)
}
