import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Longest lease that the servers grant, in milliseconds; longer than those that owners request. */
const LONGEST_GRANT = 10_000
/** Time between two tries, shorter than the pause between two listings, and the time of a whole cycle, in milliseconds. */
const RESTART_STEP = 40
const LISTING_CYCLE = 1_600

// Guards against a task that runs twice: a restarted server holds a longer lease and is idle when the owner changes, so that the
// next owner must learn of the lease although it takes over no task there.
it('a task on a server that was idle at a change of the owner does not run twice', async () => {
	for (let offset = 0; offset < LISTING_CYCLE; offset += RESTART_STEP) {
		const fleet = createTestFleet({ instances: 2, backends: 3 })
		for (const backend of fleet.backends.values()) {
			backend.getRunDuration = () => undefined
			backend.maximumLease = LONGEST_GRANT
		}
		const intake = fleet.instances[0]?.daemon.intake
		const submit = async (number: number) => {
			const job = createTestFleet.createJob(number, [{ count: 1, lasting: true }])
			void intake?.submit(job, fleet.timers.now() + 2_000)
			await fleet.advance(300)
			const runs = () => fleet.journal.getRuns(`${job.id}.0.0.0`)
			return { id: job.id, findServer: () => fleet.backends.get(runs().at(-1)?.backend ?? '') }
		}
		await fleet.advance(600)
		const first = await submit(1)
		await fleet.advance(200 + offset)
		first.findServer()?.restart()
		await fleet.advance(1_700)
		void intake?.cancel(first.id, fleet.timers.now() + 2_000)
		await fleet.advance(400)
		fleet.store.rebalance()
		await fleet.advance(400)
		const second = await submit(2)
		const server = second.findServer()
		if (server) server.disconnected = true
		await fleet.advance(LONGEST_GRANT)
		expect(fleet.journal.violations, `restart after ${offset} ms`).toEqual([])
	}
})
