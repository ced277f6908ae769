import { expect, it } from 'vitest'
import type { JobId } from '../JobId.js'
import { createTestDemand } from '../testing/createTestDemand.js'
import { simulatePool } from '../testing/simulatePool.js'

const SEEDS = [1, 2, 3, 4]
const DURATION = 5_000
const JOBS_PER_SECOND = 20
/** Time by which all jobs must have finished, in milliseconds. */
const END = 40_000
/** Rules of the test configuration's queue. */
const STRETCH = 1.6
const LATENCY_ALLOWANCE = 600

// Guards against a pool that begins more jobs of a peak than it can finish on time, because tasks in
// progress and the later steps of begun jobs do not count.
it('a pool with a third of the cores that a peak needs finishes every second job on time', () => {
	const shares = SEEDS.map((seed) => getShareOnTime(3, seed))
	expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).toBeGreaterThan(0.5)
})

it('a pool that is short by a fifth finishes nearly all jobs on time', () => {
	for (const seed of SEEDS) expect(getShareOnTime(8, seed)).toBeGreaterThan(0.88)
})

// Guards against late jobs that never finish because newer ones are placed before them.
it('a pool finishes every job of a peak, late ones too', () => {
	const demand = createTestDemand({ seed: 1, jobsPerSecond: JOBS_PER_SECOND, duration: DURATION })
	expect(simulatePool(3, demand, END).size).toBe(demand.length)
})

function getShareOnTime(backendCount: number, seed: number): number {
	const demand = createTestDemand({ seed, jobsPerSecond: JOBS_PER_SECOND, duration: DURATION })
	const finishedAt: ReadonlyMap<JobId, number> = simulatePool(backendCount, demand, END)
	const onTime = demand.filter(({ job, durations }) => {
		const chain = durations.reduce((sum, duration) => sum + duration, 0)
		const dueAt = job.acceptedAt + STRETCH * chain + LATENCY_ALLOWANCE
		return (finishedAt.get(job.id) ?? Infinity) <= dueAt
	})
	return onTime.length / demand.length
}
