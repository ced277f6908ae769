import { describe, expect, it } from 'vitest'
import type { RemainingWork } from './RemainingWork.js'
import { createJobRow } from './createJobRow.js'
import { selectFeasibleJobs } from './selectFeasibleJobs.js'
import { createTestJob } from './testing/createTestJob.js'

describe('selectFeasibleJobs', () => {
	it('selects the most jobs under overload, where earliest due time first makes the small ones late', () => {
		const large = createRemainingWork('large', 1_000, 900, 40_000)
		const small = [1, 2, 3, 4].map((number) =>
			createRemainingWork(`s${number}`, 1_000 + number, 500, 5_000)
		)
		const selected = selectFeasibleJobs([large, ...small], 16, 0)
		expect(selected.size).toBe(3)
		expect(selected.has(large)).toBe(false)
	})

	it('selects every job while the pool has capacity', () => {
		const jobs = [1, 2, 3].map((number) => createRemainingWork(`${number}`, 1_000, 500, 5_000))
		expect(selectFeasibleJobs(jobs, 16, 0).size).toBe(3)
	})

	it('skips a job that cannot finish on time even alone', () => {
		expect(selectFeasibleJobs([createRemainingWork('late', 1_000, 500, 100)], 16, 600).size).toBe(0)
	})
})

function createRemainingWork(
	id: string,
	dueAt: number,
	criticalPath: number,
	work: number
): RemainingWork {
	return { row: createJobRow(createTestJob(id, [{}])), dueAt, criticalPath, work }
}
