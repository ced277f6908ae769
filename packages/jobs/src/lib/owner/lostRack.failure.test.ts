import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
const SERVERS = 140
/** Number of servers that run a task and are lost, so that as many others have room. */
const LOST_SERVERS = 70
/** Time from the loss to the first change of the owner, in milliseconds; too short for two listings. */
const FIRST_CHANGE = 1_000
/** Intervals between two changes of the owner, in milliseconds; shorter than the first listings of all servers. */
const INTERVALS = [2_000, 3_000]
/** Time from the loss of the servers after which their tasks run elsewhere, in milliseconds. */
const MAXIMUM_ABSENCE = 20_000

// Guards against leases whose end is known, but not used: a run ends only after a listing has failed in the same
// term, only a few servers are listed at a time, and each owner begins with the same ones.
it.each(INTERVALS)(
	'the tasks of many servers that are lost at once run again although the owner changes every %i ms',
	async (interval) => {
		const fleet = createTestFleet({ instances: 3, backends: SERVERS })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(500)
		const job = createJob(1, [{ count: LOST_SERVERS, lasting: true, maximumPerBackend: 1 }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(2_000)
		const tasks = Array.from({ length: LOST_SERVERS }, (_, index) => `${job.id}.0.0.${index}`)
		for (const task of tasks) {
			const server = fleet.backends.get(fleet.journal.getRuns(task)[0]?.backend ?? '')
			if (server) server.disconnected = true
		}
		await fleet.advance(FIRST_CHANGE)
		for (let waited = FIRST_CHANGE; waited < MAXIMUM_ABSENCE; waited += interval) {
			fleet.store.rebalance()
			await fleet.advance(interval)
		}
		const standing = tasks.filter((task) => fleet.journal.getRuns(task).length < 2)
		expect(standing).toEqual([])
		expect(fleet.journal.violations).toEqual([])
	}
)
