import { expect, it } from 'vitest'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'

/** Time of the plans, in milliseconds since 1970; what was accepted at 0 is late by then. */
const NOW = 10_000

// Guards against late jobs that take the cores of jobs which could still finish on time: the jobs that
// did not all fit were placed by age, so the latest first.
it('places jobs that can still finish on time before late ones, even if not all of them can', () => {
	const { jobs, planner, configuration } = createTestTables({ backends: 1 })
	const large = { needs: { cpu: 10_000, memory: 100, gpu: 0 } }
	const small = { needs: { cpu: 6_000, memory: 100, gpu: 0 } }
	jobs.add(createTestJob('late', [{ ...small, count: 2 }], 0))
	jobs.add(createTestJob('fitting', [{ ...large, count: 2 }], NOW))
	jobs.add(createTestJob('deferred', [{ ...small, count: 6 }], NOW))
	const placed = planner.plan(configuration, 0, NOW).map(({ task }) => task.job.job.id)
	expect(placed).toEqual(['fitting', 'deferred'])
})

it('places a late job on the cores that others leave', () => {
	const { jobs, planner, configuration } = createTestTables({ backends: 1 })
	jobs.add(createTestJob('late', [{ count: 16 }], 0))
	jobs.add(createTestJob('fitting', [{ count: 12 }], NOW))
	const placed = planner.plan(configuration, 0, NOW).map(({ task }) => task.job.job.id)
	expect(placed.filter((id) => id === 'late')).toHaveLength(4)
})
