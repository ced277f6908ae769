import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const BACKENDS = 6
const TASKS = 4
const MAY_MISS = 1
/** Time that a stop takes, in milliseconds. */
const STOP_TIME = 900
/** Times from the first stop to the change of the owner, in milliseconds. */
const DELAYS = [1, 60, 300, 600]

// Guards against a new owner that stops a task of a step while one that the earlier owner has stopped
// still runs, and so still seems available.
it.each(DELAYS)('a new owner counts what is being stopped, %i ms after the stop', async (delay) => {
	const fleet = createTestFleet({ instances: 2, backends: BACKENDS })
	for (const backend of fleet.backends.values()) {
		backend.getRunDuration = () => undefined
		backend.stopTime = STOP_TIME
	}
	await fleet.advance(500)
	const step = { count: TASKS, lasting: true, mayMiss: MAY_MISS, maximumPerBackend: 1 }
	const job = createTestFleet.createJob(1, [step])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(4_000)
	expect(fleet.journal.running).toHaveLength(TASKS)
	const countStopping = (): number =>
		[...fleet.backends.values()].reduce((sum, { stoppingRuns }) => sum + stoppingRuns, 0)
	const drain = (backend: string): void => {
		const entry = fleet.store.getEntries('backends').find(({ key }) => key === backend)
		const registration = JSON.parse(entry?.value ?? '{}') as object
		const value = JSON.stringify({ ...registration, draining: true })
		fleet.store.append('backends', [{ key: backend, value }])
	}
	const used = fleet.journal.running.map((task) => fleet.journal.getRuns(task)[0]?.backend ?? '')
	drain(used.toSorted().at(-1) ?? '')
	while (countStopping() === 0) await fleet.advance(1)
	await fleet.advance(delay)
	for (const backend of used) drain(backend)
	fleet.store.rebalance()
	let fewest = TASKS
	for (let step = 0; step < 600; step += 1) {
		await fleet.advance(10)
		fewest = Math.min(fewest, fleet.journal.running.length - countStopping())
	}
	expect(fewest).toBeGreaterThanOrEqual(TASKS - MAY_MISS)
})
