import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Longest lease that the servers grant, in milliseconds; longer than those that owners request. */
const LONGEST_GRANT = 10_000
/** Time between two tries, shorter than the pause between two listings, and the time of a whole cycle, in milliseconds. */
const RESTART_STEP = 40
const LISTING_CYCLE = 1_600

/**
 * Times from the restart to the change of the owner, in milliseconds: before and after the first owner can have read the
 * listing that shows the restart.
 */
const HANDOVERS = [200, 1_700]

// Guards against a task that runs twice: a server that has started again, with its clock behind, grants an order for the
// clock before a longer lease; the next owner lists the server, loses it, and must know of that lease.
it.each(HANDOVERS)(
	'a task of a server that restarted %i ms before a change of the owner does not run twice',
	async (handover) => {
		for (let offset = 0; offset < LISTING_CYCLE; offset += RESTART_STEP) {
			const fleet = createTestFleet({ instances: 2, backends: 3 })
			for (const backend of fleet.backends.values()) {
				backend.getRunDuration = () => undefined
				backend.maximumLease = LONGEST_GRANT
			}
			await fleet.advance(600)
			const job = createTestFleet.createJob(1, [{ count: 1, lasting: true }])
			void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
			await fleet.advance(500 + offset)
			const task = `${job.id}.0.0.0`
			const server = fleet.backends.get(fleet.journal.getRuns(task)[0]?.backend ?? '')
			if (!server) throw new Error('the task does not run')
			server.restart()
			await fleet.advance(handover)
			fleet.store.rebalance()
			await fleet.advance(700)
			const current = fleet.backends.get(fleet.journal.getRuns(task).at(-1)?.backend ?? '')
			if (current) current.disconnected = true
			await fleet.advance(LONGEST_GRANT)
			expect(fleet.journal.violations, `restart after ${offset} ms`).toEqual([])
		}
	}
)
