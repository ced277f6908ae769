import type { Job } from '@mastichead/core'
import { createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { createTestPool } from '../testing/createTestPool.js'

/** Time over which the demand rises, in milliseconds. */
const RISE_TIME = 4_000
/** Jobs per second at the end of the rise; each keeps 18 cores busy for a second. */
const HIGHEST_RATE = 60
/** Time without arrivals after a rise, in milliseconds. */
const QUIET_TIME = 8_000
/** Delay with which a task of a second still ends in time, in milliseconds. */
const TOLERATED_DELAY = 1_000

// Guards against a pool that orders machines only for the work that waits now, and gets them when it has grown.
it('a pool whose demand rises again starts nearly all tasks in time', async () => {
	const pool = await createTestPool({ machines: 8, spareMachines: 150, moveTime: 1_600 })
	await pool.run(RISE_TIME, createRisingArrivals('a'))
	await pool.run(QUIET_TIME, () => [])
	const earlier = pool.delays.length
	await pool.run(RISE_TIME, createRisingArrivals('b'))
	await pool.run(QUIET_TIME, () => [])
	const delays = pool.delays.slice(earlier)
	const inTime = delays.filter((delay) => delay <= TOLERATED_DELAY)
	expect(inTime.length / delays.length).toBeGreaterThan(0.88)
})

/** Creates arrivals whose rate rises linearly. */
function createRisingArrivals(prefix: string): (elapsed: number) => Job[] {
	let created = 0
	return (elapsed) => {
		const due = (HIGHEST_RATE * elapsed * elapsed) / (2_000 * RISE_TIME)
		const jobs: Job[] = []
		while (created < due) {
			created += 1
			const needs = { cpu: 1_500, memory: 3_000, gpu: 0 }
			const id = `${prefix}${created.toString(16).padStart(15, '0')}`
			jobs.push(createTestJob(id, [{ count: 12, needs, estimate: 1_000 }]))
		}
		return jobs
	}
}
