import type { BackendRow, TaskRow } from '@mastichead/core'
import { applyRunEnding, createTestJob } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { createTestPool } from '../testing/createTestPool.js'

const MACHINES = 5
const MOVE_TIME = 1_600
/** Time from the loss of a server until its leases have expired, in milliseconds. */
const LEASE_TIME = 4_300
/** Longest time that a task may wait after the leases, in milliseconds. */
const TOLERATED_WAIT = 1_000

// Guards against a lasting task that waits for ever: the server that is out of reach still counted as a
// machine of the pool, so that none was ordered for the task, which wants a server of its own.
describe('a lasting task with a limit per server whose server is out of reach but registered', () => {
	it('runs on another machine once the leases have expired', async () => {
		const { pool, lost, task } = await createPoolOfLastingTasks()
		lost.reachable = false
		await pool.run(LEASE_TIME, () => [])
		applyRunEnding(task, 'lost', '', 1, pool.backends)
		await pool.run(TOLERATED_WAIT, () => [])
		expect(task.backend).toBeDefined()
		expect(task.backend).not.toBe(lost.id)
	})

	it('is no reason to close a further machine for maintenance', async () => {
		const { pool, lost } = await createPoolOfLastingTasks()
		expect(pool.pools.getSlack('desk')).toBe(0)
		lost.reachable = false
		await pool.run(300, () => [])
		expect(pool.pools.getSlack('desk')).toBe(-1)
	})
})

// Guards against paying for machines that are not needed.
it('a silence of a second and a half orders no machine', async () => {
	const { pool, lost } = await createPoolOfLastingTasks()
	lost.reachable = false
	await pool.run(1_500, () => [])
	lost.reachable = true
	await pool.run(6_000, () => [])
	expect(pool.countRegistered()).toBe(MACHINES)
})

// Guards against a new owner that orders a machine for each server before it has asked them.
it('servers that have not been listed yet count as machines of their pool', async () => {
	const { pool } = await createPoolOfLastingTasks()
	for (const row of pool.backends.all) row.reconciled = false
	await pool.run(6_000, () => [])
	expect(pool.countRegistered()).toBe(MACHINES)
})

// Guards against a pool that waits for ever for a machine whose move has failed at the platform.
it('a machine that does not arrive is replaced by another', async () => {
	const { pool, lost } = await createPoolOfLastingTasks()
	pool.setMoveTime(60_000)
	lost.reachable = false
	await pool.run(5_000, () => [])
	expect(await pool.countMoving()).toBe(1)
	await pool.run(2_000, () => [])
	expect(await pool.countMoving()).toBe(2)
})

/** Creates a pool at its lowest, with one lasting task on each of its servers. */
async function createPoolOfLastingTasks(): Promise<{
	readonly pool: Awaited<ReturnType<typeof createTestPool>>
	/** One of the servers, and its task. */
	readonly lost: BackendRow
	readonly task: TaskRow
}> {
	const pool = await createTestPool({ machines: MACHINES, spareMachines: 5, moveTime: MOVE_TIME })
	const needs = { cpu: 1_300, memory: 1_000, gpu: 0 }
	const step = { count: MACHINES, needs, lasting: true, maximumPerBackend: 1 }
	const row = pool.jobs.add(createTestJob('00000000000000a1', [step]))
	await pool.run(2_000, () => [])
	const [task] = row.tasks
	const lost = task?.backend === undefined ? undefined : pool.backends.get(task.backend)
	if (!task || !lost) throw new Error('the task is placed')
	return { pool, lost, task }
}
