import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** The slowest clock of a backend server. */
const CLOCK_RATE = 0.98
/** Times for which the server is idle, so that its clock is not read, in milliseconds. */
const IDLE_TIMES = [20_000, 60_000, 90_000]

// Guards against a task that runs twice: the clock of an idle server was read long ago and ran slow since,
// so that the lease of its first order was longer than the owner expected when the server was cut off.
it.each(IDLE_TIMES)(
	'a run that was started after %i ms without a listing is not given up early',
	async (idle) => {
		const fleet = createTestFleet({ instances: 1, backends: 2 })
		for (const backend of fleet.backends.values()) {
			backend.clockRate = CLOCK_RATE
			backend.getRunDuration = () => undefined
		}
		await fleet.advance(idle)
		const [instance] = fleet.instances
		if (!instance) throw new Error('the fleet has no instance')
		const job = createTestFleet.createJob(1, [{ count: 1, lasting: true }])
		void instance.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		const task = `${job.id}.0.0.0`
		while (fleet.journal.getRuns(task).length === 0) await fleet.advance(1)
		const server = fleet.journal.getRuns(task)[0]?.backend ?? ''
		instance.backendClient.unreachable.add(server)
		await fleet.advance(8_000)
		expect(fleet.journal.violations).toEqual([])
		expect(fleet.journal.getRuns(task)).toHaveLength(2)
	}
)
