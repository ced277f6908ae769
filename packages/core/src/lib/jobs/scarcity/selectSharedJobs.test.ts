import { describe, expect, it } from 'vitest'
import type { RemainingWork } from '../work/RemainingWork.js'
import { createJobRow } from '../createJobRow.js'
import { createTestJob } from '../testing/createTestJob.js'
import { selectSharedJobs } from './selectSharedJobs.js'

const CORES = 16
/** Time until all jobs are due, and the work that the servers can do until then, in core-milliseconds. */
const DUE = 1_000
const CAPACITY = CORES * DUE
const JOB_WORK = 400

describe('selectSharedJobs', () => {
	it('keeps the share of a quiet team when another one sends seven times its usual', () => {
		const selected = select({ hot: 70, quiet: 10 })
		expect(selected.quiet).toBe(10)
		expect(selected.hot).toBeGreaterThanOrEqual(28)
	})

	it('divides by weight between two teams that both send five times their usual', () => {
		const selected = select({ first: 50, second: 50 }, { first: 3, second: 1 })
		expect(selected.first).toBeCloseTo(30, -1)
		expect(selected.second).toBeGreaterThanOrEqual(8)
		expect(selected.first ?? 0).toBeGreaterThan(2 * (selected.second ?? 0))
	})

	it('leaves what one team does not use to the others', () => {
		const selected = select({ hot: 100, small: 2 }, { hot: 1, small: 9 })
		expect(selected.small).toBe(2)
		expect((selected.hot ?? 0) + 2).toBeGreaterThanOrEqual(38)
	})

	// Guards against a team that has filled the servers and goes on taking what becomes free.
	it('counts what runs already, so that a small team that comes late gets its share', () => {
		const selected = select({ hot: 40, late: 10 }, {}, { hot: CAPACITY * 0.7 })
		expect(selected.late).toBe(10)
	})

	it('drops nothing while all can be on time, nor for a team that is alone', () => {
		expect(select({ first: 15, second: 15 }, { first: 1, second: 100 })).toEqual({
			first: 15,
			second: 15,
		})
		expect(select({ alone: 60 }).alone).toBe(40)
	})
})

/** Returns how many jobs of each team are selected. */
function select(
	counts: Readonly<Record<string, number>>,
	weights: Readonly<Record<string, number>> = {},
	placedWork: Readonly<Record<string, number>> = {}
): Record<string, number> {
	const jobs = Object.entries(counts).flatMap(([team, count]) =>
		Array.from({ length: count }, (_, index) => createRemainingWork(`${team}-${index}`, team))
	)
	const placed = Object.values(placedWork).reduce((sum, work) => sum + work, 0)
	const load = {
		cores: CORES,
		arrivingMachines: { cores: 0, delay: 0 },
		placedCores: 0,
		placedWork: placed,
		placedWorkByTeam: new Map(Object.entries(placedWork)),
	}
	const selected = selectSharedJobs(jobs, load, (team) => weights[team] ?? 1, 0)
	const result: Record<string, number> = {}
	for (const { row } of selected) result[row.job.team] = (result[row.job.team] ?? 0) + 1
	return result
}

function createRemainingWork(id: string, team: string): RemainingWork {
	const row = createJobRow({ ...createTestJob(id, [{ count: 1 }]), team })
	return { row, dueAt: DUE, criticalPath: 100, pendingWork: JOB_WORK, readyCores: 0 }
}
