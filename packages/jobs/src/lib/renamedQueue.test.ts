import type { FleetConfiguration, QueueRules } from '@mastichead/core'
import { createTestConfiguration } from '@mastichead/core'
import { expect, it } from 'vitest'
import { createTestFleet } from './testing/createTestFleet.js'

const QUEUE = 'quotes'
const NEW_NAME = 'quotes-by-mail'
const DURATION = 1_000
const RULES = getRules()

// Guards against accepted jobs that are `running` for ever with nothing running, because a configuration no longer
// has their queue.
it.each([
	{ change: 'gets another name', next: createNext([NEW_NAME]), restarts: false },
	{ change: 'is removed', next: createNext([]), restarts: false },
	{ change: 'is removed and all instances start again', next: createNext([]), restarts: true },
])('a job is finished although its queue $change', async ({ next, restarts }) => {
	const fleet = createQueueFleet(next)
	await fleet.advance(500)
	const job = await submit(fleet, [{ count: 1 }, { count: 1, dependsOn: [0] }])
	await changeConfiguration(fleet)
	if (restarts) for (const index of fleet.instances.keys()) fleet.restartInstance(index)
	await fleet.advance(6_000)
	expect(await getState(fleet, job.id)).toEqual({ kind: 'state', state: 'completed' })
	expect(fleet.journal.violations).toEqual([])
})

// Guards against a job that fails after one failed run, because the number of attempts that it was accepted with
// went with its queue.
it('a task has all its attempts although its queue is removed', async () => {
	const fleet = createQueueFleet(createNext([]))
	let failures = 1
	for (const backend of fleet.backends.values())
		backend.getRunEnding = () => {
			failures -= 1
			return failures >= 0 ? 'failed' : 'done'
		}
	await fleet.advance(500)
	const job = await submit(fleet, [{ count: 1 }])
	await changeConfiguration(fleet)
	await fleet.advance(4_000)
	expect(fleet.journal.getRuns(`${job.id}.0.0.0`)).toHaveLength(2)
	expect(await getState(fleet, job.id)).toEqual({ kind: 'state', state: 'completed' })
})

// Guards against a count of waiting jobs that lacks those accepted before their queue got another name.
it('a queue counts the waiting jobs that were accepted under its earlier name', async () => {
	const fleet = createQueueFleet(createNext([NEW_NAME]), 0)
	await fleet.advance(500)
	await submit(fleet, [{ count: 1 }])
	await changeConfiguration(fleet)
	const { intake } = getDaemon(fleet)
	expect(intake.countWaitingJobs(NEW_NAME, RULES)).toEqual({ kind: 'waiting', count: 1 })
	const elsewhere = { ...RULES, pathPrefix: '/files/' }
	expect(intake.countWaitingJobs('files', elsewhere)).toEqual({ kind: 'waiting', count: 0 })
})

type TestFleet = ReturnType<typeof createTestFleet>

function getRules(): QueueRules {
	const rules = createTestConfiguration().queues.get(QUEUE)
	if (!rules) throw new Error('the test configuration has no queue')
	return rules
}

/** Creates the second version of the configuration, with queues of the given names at the same prefix. */
function createNext(names: readonly string[]): FleetConfiguration {
	const queues = new Map(names.map((name) => [name, { ...RULES, name }]))
	return { ...createTestConfiguration(), version: 2, queues }
}

function createQueueFleet(nextConfiguration: FleetConfiguration, backends = 3): TestFleet {
	const fleet = createTestFleet({ instances: 2, backends, nextConfiguration })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => DURATION
	return fleet
}

/** Submits a job as a caller does, and waits until its first task runs. */
async function submit(fleet: TestFleet, steps: Parameters<typeof createTestFleet.createJob>[1]) {
	const job = { ...createTestFleet.createJob(1, steps), acceptedRules: RULES }
	void getDaemon(fleet).intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(DURATION / 2)
	return job
}

async function changeConfiguration(fleet: TestFleet): Promise<void> {
	fleet.store.append('operator', [{ key: 'config', value: '2' }])
	await fleet.advance(100)
	expect(getDaemon(fleet).configuration.current?.version).toBe(2)
}

async function getState(fleet: TestFleet, id: string) {
	const answer = getDaemon(fleet).intake.getState(id, fleet.timers.now() + 2_000)
	await fleet.advance(100)
	return answer
}

function getDaemon({ instances }: TestFleet) {
	const [first] = instances
	if (!first) throw new Error('the fleet has no instance')
	return first.daemon
}
