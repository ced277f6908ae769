import { describe, expect, it } from 'vitest'
import { MemoryEventLog } from './testing/MemoryEventLog.js'
import { createTestFleet } from './testing/createTestFleet.js'

const { createJob } = createTestFleet

// Guards against one unexpected error or unreadable record that takes a whole process down.
describe('an instance', () => {
	it('ends its term after an unexpected error, and goes on with the next one', async () => {
		const events = new MemoryEventLog()
		const fleet = createTestFleet({ instances: 1, backends: 2, events })
		let failures = 2
		fleet.machines.list = () => {
			failures -= 1
			if (failures >= 0) throw new Error('list of machines is not a list')
			return Promise.resolve([])
		}
		await fleet.advance(3_000)
		expect(events.get('owner-failed')).toHaveLength(2)
		expect(await runJob(fleet, 1)).toHaveLength(1)
	})

	it('skips a record that it cannot process, and runs the jobs after it', async () => {
		const events = new MemoryEventLog()
		const fleet = createTestFleet({ instances: 2, backends: 2, events })
		await fleet.advance(1_000)
		const records = ['{}', 'null', '[]', '{"id":7,"steps":"none"}', 'not JSON'].map(
			(value, number) => ({ key: `job/${number}`, value })
		)
		fleet.store.append('intake/0', records)
		fleet.store.append('progress', [
			{ key: 'machine/m1', value: 'null' },
			{ key: 'backend/b9', value: '[]' },
			{ key: 'wave/1', value: '7' },
			{ key: '0000000000000abc', value: '{"format":2}' },
		])
		await fleet.advance(500)
		expect(await runJob(fleet, 2)).toHaveLength(1)
		fleet.store.rebalance()
		await fleet.advance(3_000)
		expect(await runJob(fleet, 3)).toHaveLength(1)
		expect(events.get('owner-failed')).toEqual([])
		expect(events.get('log-record-unreadable').length).toBeGreaterThan(0)
	})
})

/** Submits a job of one task and returns its runs. */
async function runJob(fleet: ReturnType<typeof createTestFleet>, number: number) {
	const job = createJob(number, [{ count: 1 }])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(2_000)
	return fleet.journal.getRuns(`${job.id}.0.0.0`)
}
