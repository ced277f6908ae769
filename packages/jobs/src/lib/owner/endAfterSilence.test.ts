import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Durations of the silence of the server, in milliseconds; the leases on its runs expire in it. */
const SILENCES = [6_000, 9_000]

// Guards against a task that is started again although it has run to its end, because its server was
// silent until the owner had given the run up, and named the end only after that.
it.each(SILENCES)(
	'a task that ended while its server was silent for %i ms runs once',
	async (silence) => {
		const fleet = createTestFleet({ instances: 1, backends: 1 })
		const backend = fleet.backends.get('b1')
		const daemon = fleet.instances[0]?.daemon
		if (!backend || !daemon) throw new Error('the fleet lacks an instance or a server')
		backend.getRunDuration = () => 800
		await fleet.advance(500)
		const job = createJob(1, [{ count: 3 }])
		void daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(300)
		backend.disconnected = true
		await fleet.advance(silence)
		backend.disconnected = false
		await fleet.advance(4_000)
		const runs = [0, 1, 2].map((index) => fleet.journal.getRuns(`${job.id}.0.0.${index}`).length)
		expect(runs).toEqual([1, 1, 1])
		const state = daemon.intake.getState(job.id, fleet.timers.now() + 2_000)
		await fleet.advance(50)
		expect(await state).toEqual({ kind: 'state', state: 'completed' })
		expect(fleet.journal.violations).toEqual([])
	}
)
