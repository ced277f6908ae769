import { describe, expect, it } from 'vitest'
import type { Job } from '../Job.js'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'
import { simulatePool } from '../testing/simulatePool.js'

const BACKENDS = 2
const WIDE_ARRIVAL = 1_000
const WIDE = 'wide'
/** Time by which the wide job is on time by the rules of the queue, in milliseconds. */
const DUE = 1_600 + 600

// Names the load: small tasks keep every server busy and take each gap before it fits a wide task.
it('a wide task starts in time although small ones take every gap', () => {
	const small = createSmallJobs(4_000, 40)
	const wide = createTestJob(
		WIDE,
		[{ count: 1, needs: { cpu: 12_000, memory: 100, gpu: 0 }, estimate: 1_000 }],
		WIDE_ARRIVAL
	)
	const jobs = [...small, { job: wide, durations: [1_000] }]
	const finishedAt = simulatePool(BACKENDS, jobs, 20_000)
	expect((finishedAt.get(WIDE) ?? Infinity) - WIDE_ARRIVAL).toBeLessThan(DUE)
	expect(finishedAt.size).toBe(jobs.length)
})

describe('beside a reservation', () => {
	it('tasks that end before it use the gap, and others do not', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 1 })
		// Room for the wide task comes when the first tasks end, at 1,000 ms.
		jobs.add(createTestJob('running', [{ count: 1, needs: cores(10), estimate: 1_000 }], 0))
		for (const { task } of planner.plan(configuration, 0, 0)) task.startedAt = 0
		jobs.add(createTestJob(WIDE, [{ count: 1, needs: cores(12), estimate: 1_000 }], 0))
		jobs.add(createTestJob('short', [{ count: 1, needs: cores(6), estimate: 400 }], 500))
		jobs.add(createTestJob('long', [{ count: 1, needs: cores(6), estimate: 3_000 }], 400))
		const placed = planner.plan(configuration, 500, 500).map(({ task }) => task.job.job.id)
		expect(placed).toEqual(['short'])
	})

	it('tasks that fit beside the wide one may run longer', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 1 })
		jobs.add(createTestJob('running', [{ count: 1, needs: cores(10), estimate: 1_000 }], 0))
		for (const { task } of planner.plan(configuration, 0, 0)) task.startedAt = 0
		jobs.add(createTestJob(WIDE, [{ count: 1, needs: cores(12), estimate: 1_000 }], 0))
		jobs.add(createTestJob('long', [{ count: 2, needs: cores(3), estimate: 3_000 }], 400))
		const placed = planner.plan(configuration, 500, 500).map(({ task }) => task.id)
		expect(placed).toEqual(['long.0.0.0'])
	})

	it('late jobs hold no room', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 1 })
		jobs.add(createTestJob('running', [{ count: 1, needs: cores(10), estimate: 1_000 }], 0))
		planner.plan(configuration, 0, 0)
		jobs.add(createTestJob(WIDE, [{ count: 1, needs: cores(12), estimate: 1_000 }], 0))
		jobs.add(createTestJob('long', [{ count: 1, needs: cores(6), estimate: 3_000 }], 9_000))
		const placed = planner.plan(configuration, 10_000, 10_000).map(({ task }) => task.job.job.id)
		expect(placed).toEqual(['long'])
	})
})

function cores(count: number) {
	return { cpu: count * 1_000, memory: 100, gpu: 0 }
}

function createSmallJobs(duration: number, perSecond: number): { job: Job; durations: number[] }[] {
	const count = (duration / 1_000) * perSecond
	return Array.from({ length: count }, (_, number) => {
		const step = { count: 1, needs: cores(2), estimate: 400 }
		const job = createTestJob(`small-${number}`, [step], (number * 1_000) / perSecond)
		return { job, durations: [350 + ((number * 37) % 100)] }
	})
}
