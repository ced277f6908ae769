import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Intervals between two changes of the owner, in milliseconds; shorter than two listings without an answer. */
const INTERVALS = [600, 900]
/** Time from the loss of a server after which its tasks run elsewhere, in milliseconds. */
const MAXIMUM_ABSENCE = 20_000

// Guards against a wait for leases that starts over with each owner, because the owner changes before it has
// recorded that it did not reach the server.
it.each(INTERVALS)(
	'a task of a lost server runs again although owners change before they record its loss, every %i ms',
	async (interval) => {
		const fleet = createTestFleet({ instances: 3, backends: 3 })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(500)
		const job = createJob(1, [{ count: 2, lasting: true, maximumPerBackend: 1 }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(1_000)
		const lost = fleet.journal.getRuns(`${job.id}.0.0.0`)[0]?.backend ?? ''
		const server = fleet.backends.get(lost)
		if (server) server.disconnected = true
		for (let waited = 0; waited < MAXIMUM_ABSENCE; waited += interval) {
			fleet.store.rebalance()
			await fleet.advance(interval)
		}
		expect(fleet.journal.getRuns(`${job.id}.0.0.0`)).toHaveLength(2)
		expect(fleet.journal.violations).toEqual([])
	}
)
