import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Times for which the log accepts no progress, in milliseconds; longer than an owner may go on without a record. */
const OUTAGES = [7_000, 10_000]
/** Time that an append takes in a slow log, in milliseconds; longer than a writer waits for its answer. */
const APPEND_TIME = 800
const SLOW_TIME = 14_000

// Guards against tasks that lapse because the owner ends its term while the log still confirms its membership.
it.each(OUTAGES)(
	'lasting tasks survive if the log confirms the owner but accepts no progress for %i ms',
	async (outage) => {
		const { fleet, tasks } = await createRunningFleet()
		fleet.store.unavailableStreams.add('progress')
		await fleet.advance(outage)
		fleet.store.unavailableStreams.delete('progress')
		await fleet.advance(6_000)
		expect(tasks.map((task) => fleet.journal.getRuns(task).length)).toEqual([1, 1, 1])
		expect(fleet.journal.violations).toEqual([])
	}
)

it('lasting tasks survive if the log confirms the owner but takes longer for an append than a writer waits', async () => {
	const { fleet, tasks } = await createRunningFleet()
	for (const { log } of fleet.instances) {
		const append = log.append.bind(log)
		log.append = async (stream, records, timeout, fence) => {
			const result = await append(stream, records, timeout, fence)
			if (stream !== 'progress') return result
			await new Promise<void>((resolve) => {
				fleet.timers.after(Math.min(APPEND_TIME, timeout), resolve)
			})
			return timeout < APPEND_TIME ? { kind: 'unknown', reason: 'no answer' } : result
		}
	}
	await fleet.advance(SLOW_TIME)
	expect(tasks.map((task) => fleet.journal.getRuns(task).length)).toEqual([1, 1, 1])
	expect([...fleet.journal.running].sort()).toEqual(tasks)
	expect(fleet.journal.violations).toEqual([])
})

async function createRunningFleet() {
	const fleet = createTestFleet({ instances: 3, backends: 3 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	await fleet.advance(600)
	const job = createJob(1, [{ count: 3, lasting: true }])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(500)
	return { fleet, tasks: [0, 1, 2].map((place) => `${job.id}.0.0.${place}`) }
}
