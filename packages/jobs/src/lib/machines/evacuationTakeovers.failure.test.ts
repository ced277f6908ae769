import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const BACKENDS = 5
const TASKS = 3
/** Intervals between two changes of the owner, in milliseconds. */
const INTERVALS = [2_000, 3_000, 8_000]
/** Time in which two draining servers are left by their lasting tasks, in milliseconds. */
const EVACUATION_TIME = 16_000

// Guards against lasting tasks that stay on a draining server until it ends, because the time in which a new
// owner interrupts nothing starts over with each change of the owner.
it.each(INTERVALS)(
	'lasting tasks leave draining servers although the owner changes every %i ms',
	async (interval) => {
		const fleet = createTestFleet({ instances: 3, backends: BACKENDS })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(500)
		const step = { count: TASKS, lasting: true, mayMiss: 1, maximumPerBackend: 1 }
		const job = createTestFleet.createJob(1, [step])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(3_000)
		const used = fleet.journal.running.map((task) => getServer(task))
		expect(used).toHaveLength(TASKS)
		const draining = used.slice(0, 2)
		for (const backend of draining) drain(backend ?? '')
		const end = fleet.timers.now() + EVACUATION_TIME
		let fewest = TASKS
		while (fleet.timers.now() < end) {
			fleet.store.rebalance()
			for (let waited = 0; waited < interval; waited += 10) {
				await fleet.advance(10)
				fewest = Math.min(fewest, fleet.journal.running.length)
			}
		}
		const now = fleet.journal.running.map((task) => getServer(task))
		expect(now).toHaveLength(TASKS)
		expect(now.filter((backend) => draining.includes(backend))).toEqual([])
		expect(fewest).toBeGreaterThanOrEqual(TASKS - 1)
		expect(fleet.journal.violations).toEqual([])

		function getServer(task: string): string | undefined {
			return fleet.journal.getRuns(task).at(-1)?.backend
		}

		function drain(backend: string): void {
			const entry = fleet.store.getEntries('backends').find(({ key }) => key === backend)
			const registration = JSON.parse(entry?.value ?? '{}') as object
			const value = JSON.stringify({ ...registration, draining: true })
			fleet.store.append('backends', [{ key: backend, value }])
		}
	}
)
