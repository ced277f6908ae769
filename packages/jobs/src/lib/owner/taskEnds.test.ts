import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

// Guards against one record of a job for each of its tasks that end one after the other.
it('writes the ends of 16 tasks within 120 ms in at most 4 records', async () => {
	const fleet = createTestFleet({ instances: 1, backends: 16 })
	for (const backend of fleet.backends.values()) {
		backend.getRunDuration = (task) => 300 + 8 * Number(task.split('.').at(-1))
	}
	await fleet.advance(500)
	const intake = fleet.instances[0]?.daemon.intake
	if (!intake) throw new Error('the fleet has no instance')
	const job = createTestFleet.createJob(2, [{ count: 16, maximumPerBackend: 1 }])
	void intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(150)
	const { length } = fleet.store.getEntries('progress')
	expect(fleet.journal.running).toHaveLength(16)
	await fleet.advance(1_000)
	const state = intake.getState(job.id, fleet.timers.now() + 2_000)
	await fleet.advance(50)
	expect(await state).toEqual({ kind: 'state', state: 'completed' })
	const records = fleet.store.getEntries('progress').slice(length)
	expect(records.filter((entry) => entry.key === job.id).length).toBeLessThanOrEqual(4)
})
