import type { JobStep } from '@mastichead/core'
import { createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { createTestPool } from '../testing/createTestPool.js'

const MACHINES = 4
const MOVE_TIME = 1_600
/** Longest time until a task runs on a machine that is ordered for it, in milliseconds. */
const TOLERATED_WAIT = 2_500

// Guards against a lasting task that never runs: the pool has the cores for it, but on no server enough of
// them, and the other tasks last too.
it('a lasting task that no server will ever have room for gets a machine', async () => {
	const { pool, tasks } = await createPoolOfLargeTasks({ cores: 8 })
	await pool.run(TOLERATED_WAIT, () => [])
	expect(tasks.map(({ phase }) => phase)).toEqual(['placed'])
	const count = pool.countRegistered()
	await pool.run(6_000, () => [])
	expect(pool.countRegistered()).toBe(count)
})

// Guards against machines that are ordered again and again although none of them can help.
it('a lasting task that no machine can run gets none', async () => {
	for (const step of [{ cores: 17 }, { cores: 8, requiredLabel: 'missing' }]) {
		const { pool } = await createPoolOfLargeTasks(step)
		await pool.run(6_000, () => [])
		expect(pool.countRegistered()).toBe(MACHINES)
	}
})

/** Creates a pool whose servers each have a lasting task of 9 of their 16 cores, and one that waits. */
async function createPoolOfLargeTasks({
	cores,
	...step
}: { readonly cores: number } & Partial<JobStep>) {
	const pool = await createTestPool({ machines: MACHINES, spareMachines: 8, moveTime: MOVE_TIME })
	const createLasting = (count: number, cpu: number): Partial<JobStep> => ({
		count,
		needs: { cpu, memory: 1_000, gpu: 0 },
		lasting: true,
	})
	const large = { ...createLasting(MACHINES, 9_000), maximumPerBackend: 1 }
	pool.jobs.add(createTestJob('00000000000000a1', [large]))
	await pool.run(2_000, () => [])
	const waiting = { ...createLasting(1, cores * 1_000), ...step }
	const { tasks } = pool.jobs.add(createTestJob('00000000000000a2', [waiting]))
	return { pool, tasks }
}
