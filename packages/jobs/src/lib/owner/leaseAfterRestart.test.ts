import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Times of the restart after the first 1.5 s, in milliseconds; all are between two listings. */
const RESTARTS = Array.from({ length: 4 }, (_, index) => 100 + index * 15)
const LARGE = { cpu: 16_000, memory: 1_000, gpu: 0 }

// Guards against a task that is started elsewhere while it runs: its server, which had started again, was
// asked for a lease on the clock of the process before, granted the longest one, and was then cut off.
it.each(RESTARTS)(
	'a run under a lease of the clock before is not given up early, restart at %i ms',
	async (restart) => {
		const fleet = createTestFleet({ instances: 1, backends: 2 })
		const [instance] = fleet.instances
		const [first, second] = ['b1', 'b2'].map((id) => fleet.backends.get(id))
		if (!instance || !first || !second) throw new Error('the fleet lacks an instance or a server')
		for (const backend of [first, second]) backend.maximumLease = 10_000
		first.getRunDuration = () => 20_000
		second.getRunDuration = () => 4_000
		await fleet.advance(500)
		const job = createJob(1, [{ count: 2, needs: LARGE, estimate: 4_000 }])
		void instance.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(1_000 + restart)
		first.restart()
		await fleet.advance(900)
		instance.backendClient.unreachable.add('b1')
		await fleet.advance(9_000)
		expect(fleet.journal.violations).toEqual([])
	}
)
