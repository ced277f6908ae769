import type { Job } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { intakeStreams } from './ports/intakeStreams.js'
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

	// Guards against a server that cannot be called and that ends each term of the owner, so that no accepted
	// job is placed any more.
	it('goes on with the other servers if it cannot call one of them', async () => {
		const events = new MemoryEventLog()
		const fleet = createTestFleet({ instances: 2, backends: 3, events })
		for (const { backendClient } of fleet.instances) backendClient.throwing.add('b2')
		await fleet.advance(2_000)
		for (const number of [1, 2, 3]) expect(await runJob(fleet, number)).toHaveLength(1)
		expect(events.get('owner-failed')).toEqual([])
		expect(events.get('owner-begun')).toHaveLength(1)
		expect(events.get('backend-monitor-failed')).toHaveLength(1)
	})

	// Guards against a job that waits for ever for tasks on a server whose answers cause unexpected errors.
	it('runs the tasks of a server elsewhere once it cannot call it any more', async () => {
		const events = new MemoryEventLog()
		const fleet = createTestFleet({ instances: 1, backends: 2, events })
		await fleet.advance(1_000)
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => 60_000
		const job = createJob(1, [{ count: 1 }])
		await submit(fleet, job)
		const [run] = fleet.journal.getRuns(`${job.id}.0.0.0`)
		if (!run) throw new Error('the task was not started')
		fleet.instances[0]?.backendClient.throwing.add(run.backend)
		await fleet.advance(8_000)
		const backends = fleet.journal.getRuns(`${job.id}.0.0.0`).map(({ backend }) => backend)
		expect(backends).toEqual([run.backend, run.backend === 'b1' ? 'b2' : 'b1'])
		expect(events.get('owner-failed')).toEqual([])
	})

	it('skips a record that it cannot process, and runs the jobs after it', async () => {
		const events = new MemoryEventLog()
		const fleet = createTestFleet({ instances: 2, backends: 2, events })
		await fleet.advance(1_000)
		const values = ['{}', 'null', '[]', '7', '{"id":7,"steps":"none"}', '{"caller":7}', 'not JSON']
		const records = values.flatMap((value, number) => [
			{ key: `job/${number}`, value },
			{ key: `submission/${number}/1`, value },
			{ key: `cancellation/${number}/1`, value },
			{ key: `submission/${number}`, value },
		])
		for (const stream of intakeStreams) fleet.store.append(stream, records)
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
	await submit(fleet, job)
	return fleet.journal.getRuns(`${job.id}.0.0.0`)
}

async function submit(fleet: ReturnType<typeof createTestFleet>, job: Job): Promise<void> {
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(2_000)
}
