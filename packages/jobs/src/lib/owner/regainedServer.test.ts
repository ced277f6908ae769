import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Times for which the server is out of its owner's reach, in milliseconds; some are longer than a listing, all shorter than a lease. */
const SILENCES = [700, 2_500, 2_800, 3_100, 3_400, 3_700]

// Guards against a task that runs twice: an owner regains a server after it has recorded that its leases are
// not renewed, renews them while it cannot reach the log, and the next owner relies on the record.
it.each(SILENCES)(
	'a server that was silent for %i ms gets no lease that the next owner does not know of',
	async (silence) => {
		const fleet = createTestFleet({ instances: 2, backends: 3 })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(600)
		const owner = fleet.instances.find(({ daemon }) => daemon.isOwner)
		const other = fleet.instances.find(({ daemon }) => !daemon.isOwner)
		if (!owner || !other) throw new Error('the fleet has no owner or no other instance')
		const job = createTestFleet.createJob(1, [{ count: 1, lasting: true }])
		void other.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(500)
		const task = `${job.id}.0.0.0`
		const server = fleet.journal.getRuns(task)[0]?.backend ?? ''
		owner.backendClient.unreachable.add(server)
		other.backendClient.unreachable.add(server)
		await fleet.advance(silence)
		owner.log.disconnected = true
		owner.backendClient.unreachable.delete(server)
		await fleet.advance(14_000)
		expect(other.daemon.isOwner).toBe(true)
		expect(fleet.journal.violations).toEqual([])
		expect(fleet.journal.running).toEqual([task])
	}
)
