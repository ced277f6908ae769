import { describe, expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet

describe('a job on a fleet without faults', () => {
	it('runs its steps in order and is reported as completed', async () => {
		const fleet = createTestFleet({ instances: 2, backends: 2 })
		await fleet.advance(500)
		const [first, second] = fleet.instances
		const job = createJob(1, [{ count: 3 }, { count: 2, dependsOn: [0] }])
		const answer = first?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(50)
		expect(await answer).toEqual({ kind: 'accepted' })
		await fleet.advance(1_500)
		const state = second?.daemon.intake.getState(job.id, fleet.timers.now() + 2_000)
		await fleet.advance(50)
		expect(await state).toEqual({ kind: 'state', state: 'completed' })
		const ends = [0, 1, 2].map(
			(index) => fleet.journal.getRuns(`${job.id}.0.0.${index}`)[0]?.endedAt
		)
		const start = fleet.journal.getRuns(`${job.id}.0.1.0`)[0]?.startedAt ?? 0
		expect(Math.max(...ends.map((end) => end ?? Infinity))).toBeLessThanOrEqual(start)
		expect(fleet.journal.violations).toEqual([])
	})

	it('reports an unknown job as such, and runs a repeatedly submitted job once', async () => {
		const fleet = createTestFleet({ instances: 1, backends: 1 })
		await fleet.advance(500)
		const intake = fleet.instances[0]?.daemon.intake
		if (!intake) throw new Error('the fleet has no instance')
		const unknown = intake.getState('00000000000000ff', fleet.timers.now() + 2_000)
		await fleet.advance(50)
		expect(await unknown).toEqual({ kind: 'unknown-job' })
		const job = createJob(2, [{ count: 1 }])
		const answers = [1, 2].map(() => intake.submit(job, fleet.timers.now() + 2_000))
		await fleet.advance(50)
		expect(await Promise.all(answers)).toEqual([{ kind: 'accepted' }, { kind: 'accepted' }])
		await fleet.advance(1_000)
		expect(fleet.journal.getRuns(`${job.id}.0.0.0`)).toHaveLength(1)
	})
})

describe('a change of owner', () => {
	it('keeps lasting tasks running on their servers and can stop them', async () => {
		const fleet = createTestFleet({ instances: 2, backends: 2 })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(500)
		const job = createJob(3, [{ count: 4, lasting: true }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(500)
		expect(fleet.journal.running).toHaveLength(4)
		fleet.store.rebalance()
		await fleet.advance(3_000)
		expect(fleet.journal.getRuns(`${job.id}.0.0.0`)).toHaveLength(1)
		void fleet.instances[0]?.daemon.intake.cancel(job.id, fleet.timers.now() + 2_000)
		await fleet.advance(1_500)
		expect(fleet.journal.running).toEqual([])
		expect(fleet.journal.violations).toEqual([])
	})

	it('runs no task twice if the earlier owner loses the log but reaches a server that the new owner does not', async () => {
		const fleet = createTestFleet({ instances: 2, backends: 4 })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(500)
		const [first, second] = fleet.instances
		const job = createJob(4, [{ count: 6, lasting: true, maximumPerBackend: 3 }])
		void first?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(500)
		if (first) first.log.disconnected = true
		second?.backendClient.unreachable.add('b1')
		await fleet.advance(20_000)
		expect(fleet.journal.violations).toEqual([])
	})

	it('restarts the tasks of an unreachable server once all its leases must have expired', async () => {
		const fleet = createTestFleet({ instances: 1, backends: 2 })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		await fleet.advance(500)
		const job = createJob(5, [{ count: 2, lasting: true, maximumPerBackend: 1 }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(500)
		const unreachable = fleet.backends.get('b1')
		if (unreachable) unreachable.disconnected = true
		await fleet.advance(12_000)
		if (unreachable) unreachable.disconnected = false
		await fleet.advance(3_000)
		expect(fleet.journal.running).toHaveLength(2)
		expect(fleet.journal.violations).toEqual([])
	})
})

describe('a start order without an answer', () => {
	it('is barred before the task is placed on another server', async () => {
		const fleet = createTestFleet({ instances: 1, backends: 2 })
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => 2_000
		await fleet.advance(500)
		const backendClient = fleet.instances[0]?.backendClient
		if (backendClient) backendClient.startDelay = 1_500
		const job = createJob(6, [{ count: 3 }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(60)
		if (backendClient) backendClient.startDelay = undefined
		await fleet.advance(8_000)
		expect(fleet.journal.violations).toEqual([])
		expect(fleet.journal.running).toEqual([])
		expect(fleet.journal.getRuns(`${job.id}.0.0.0`).length).toBeGreaterThan(0)
	})
})

it('removes a backend server that has left', async () => {
	const fleet = createTestFleet({ instances: 1, backends: 2 })
	await fleet.advance(500)
	fleet.store.append('backends', [{ key: 'b1', value: undefined }])
	await fleet.advance(12_000)
	const newest = new Map(
		fleet.store.getEntries('progress').map((entry) => [entry.key, entry.value])
	)
	expect(newest.has('backend/b1')).toBe(true)
	expect(newest.get('backend/b1')).toBeUndefined()
	expect(newest.get('backend/b2')).toBeDefined()
	const job = createJob(7, [{ count: 3 }])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(1_000)
	const usedBackends = [0, 1, 2].map(
		(index) => fleet.journal.getRuns(`${job.id}.0.0.${index}`)[0]?.backend
	)
	expect(usedBackends).toEqual(['b2', 'b2', 'b2'])
})
