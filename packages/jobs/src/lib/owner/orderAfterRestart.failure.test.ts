import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Times from a start order to the change of the owner, in milliseconds. */
const HANDOVERS = [20, 300, 800]

// Guards against a task that runs twice: a server has started again, its clock is behind the one before, and it grants
// the longest lease to a start order whose answer is lost. No owner has seen the restart, so none has recorded it.
it.each(HANDOVERS)(
	'a lease on the clock before a restart that no owner has seen is waited for, owner changed after %i ms',
	async (handover) => {
		const fleet = createTestFleet({ instances: 2, backends: 2 })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(1_500)
		const owner = fleet.instances.find(({ daemon }) => daemon.isOwner)
		const other = fleet.instances.find(({ daemon }) => !daemon.isOwner)
		if (!owner || !other) throw new Error('the fleet has no owner or no other instance')
		for (const backend of fleet.backends.values()) backend.restart()
		owner.backendClient.startDelay = 2
		const job = createJob(1, [{ count: 1, lasting: true }])
		void other.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		const task = `${job.id}.0.0.0`
		while (fleet.journal.getRuns(task).length === 0) await fleet.advance(1)
		const server = fleet.journal.getRuns(task)[0]?.backend ?? ''
		for (const { backendClient } of fleet.instances) backendClient.unreachable.add(server)
		owner.backendClient.startDelay = undefined
		await fleet.advance(handover)
		fleet.store.rebalance()
		await fleet.advance(14_000)
		expect(other.daemon.isOwner).toBe(true)
		expect(fleet.journal.violations).toEqual([])
	}
)
