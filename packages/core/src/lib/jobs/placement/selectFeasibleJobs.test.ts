import { describe, expect, it } from 'vitest'
import type { RemainingWork } from '../work/RemainingWork.js'
import { createJobRow } from '../createJobRow.js'
import { selectFeasibleJobs } from './selectFeasibleJobs.js'
import { createTestJob } from '../testing/createTestJob.js'

const IDLE_LOAD = {
	cores: 16,
	arrivingMachines: { cores: 0, delay: 0 },
	placedCores: 0,
	placedWork: 0,
}

describe('selectFeasibleJobs', () => {
	it('selects the most jobs under overload, where earliest due time first makes the small ones late', () => {
		const large = createRemainingWork('large', 1_000, 900, 40_000)
		const small = [1, 2, 3, 4].map((number) =>
			createRemainingWork(`s${number}`, 1_000 + number, 500, 5_000)
		)
		const selected = selectFeasibleJobs([large, ...small], IDLE_LOAD, 0)
		expect(selected.size).toBe(3)
		expect(selected.has(large)).toBe(false)
	})

	it('selects every job while the pool has capacity', () => {
		const jobs = [1, 2, 3].map((number) => createRemainingWork(`${number}`, 1_000, 500, 5_000))
		expect(selectFeasibleJobs(jobs, IDLE_LOAD, 0).size).toBe(3)
	})

	it('skips a job that cannot finish on time even alone', () => {
		const late = createRemainingWork('late', 1_000, 500, 100)
		expect(selectFeasibleJobs([late], IDLE_LOAD, 600).size).toBe(0)
	})

	// Guards against more jobs that are begun than the cores can finish, because what runs did not count.
	it('counts the work of placed tasks', () => {
		const jobs = [1, 2, 3].map((number) => createRemainingWork(`${number}`, 1_000, 500, 5_000))
		const load = { ...IDLE_LOAD, placedCores: 16, placedWork: 2_000 }
		expect(selectFeasibleJobs(jobs, load, 0).size).toBe(2)
	})

	// Guards against a job that is begun although its tasks can only start after its latest start.
	it('skips a job that the work before it keeps from starting in time', () => {
		const first = createRemainingWork('first', 1_000, 900, 9_000, 16)
		const second = createRemainingWork('second', 1_000, 800, 7_000, 9)
		expect(selectFeasibleJobs([first, second], IDLE_LOAD, 0).has(second)).toBe(true)
		expect(selectFeasibleJobs([first, second], IDLE_LOAD, 0).size).toBe(1)
	})

	it('counts the work that machines on their way can do before the due time', () => {
		const jobs = [1, 2, 3, 4].map((number) => createRemainingWork(`${number}`, 2_000, 500, 10_000))
		const select = (delay: number): number =>
			selectFeasibleJobs(jobs, { ...IDLE_LOAD, arrivingMachines: { cores: 16, delay } }, 0).size
		expect(select(2_000)).toBe(3)
		expect(select(500)).toBe(4)
	})

	it('selects a job beside running tasks if there is room for all its tasks', () => {
		const job = createRemainingWork('job', 1_000, 900, 3_600, 4)
		const load = { ...IDLE_LOAD, placedCores: 12, placedWork: 10_000 }
		expect(selectFeasibleJobs([job], load, 0).size).toBe(1)
		expect(selectFeasibleJobs([job], { ...load, placedCores: 13 }, 0).size).toBe(0)
	})
})

function createRemainingWork(
	id: string,
	dueAt: number,
	criticalPath: number,
	pendingWork: number,
	readyCores = 5
): RemainingWork {
	const row = createJobRow(createTestJob(id, [{}]))
	return { row, dueAt, criticalPath, pendingWork, readyCores }
}
