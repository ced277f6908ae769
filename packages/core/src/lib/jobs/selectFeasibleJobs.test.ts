import { describe, expect, it } from 'vitest'
import type { RemainingWork } from './RemainingWork.js'
import { createJobRow } from './createJobRow.js'
import { selectFeasibleJobs } from './selectFeasibleJobs.js'
import { createTestJob } from './testing/createTestJob.js'

describe('demand above what a pool can do', () => {
	it('keeps as many jobs as possible in time, where order by due date keeps none of the small ones', () => {
		const large = createOutlook('large', 1_000, 900, 40_000)
		const small = [1, 2, 3, 4].map((number) =>
			createOutlook(`s${number}`, 1_000 + number, 500, 5_000)
		)
		const kept = selectFeasibleJobs([large, ...small], 16, 0)
		expect(kept.size).toBe(3)
		expect(kept.has(large)).toBe(false)
	})

	it('keeps everything while it fits', () => {
		const outlooks = [1, 2, 3].map((number) => createOutlook(`${number}`, 1_000, 500, 5_000))
		expect(selectFeasibleJobs(outlooks, 16, 0).size).toBe(3)
	})

	it('leaves out what cannot be in time even alone', () => {
		expect(selectFeasibleJobs([createOutlook('late', 1_000, 500, 100)], 16, 600).size).toBe(0)
	})
})

function createOutlook(id: string, due: number, chain: number, work: number): RemainingWork {
	return { row: createJobRow(createTestJob(id, [{}])), dueAt: due, criticalPath: chain, work }
}
