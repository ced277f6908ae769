import { expect, it } from 'vitest'
import type { BackendScorer } from '../placement/BackendScorer.js'
import { BinPackingScorer } from '../placement/BinPackingScorer.js'
import type { JobId } from '../JobId.js'
import type { TaskRow } from '../TaskRow.js'
import { applyRunEnding } from '../applyRunEnding.js'
import { createTestDemand } from '../testing/createTestDemand.js'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'
import { DrainingScorer } from './DrainingScorer.js'

const SEEDS = [1, 2, 3, 4, 5, 6]
const BACKENDS = 30
const TICK = 20
const END = 20_000

// Names the load: the demand of a pool falls, and its machines are to become free for another one.
it('servers fall idle earlier as demand falls, and nothing waits longer', () => {
	const before = SEEDS.map((seed) => simulate(new BinPackingScorer(), seed))
	const after = SEEDS.map((seed) => simulate(new DrainingScorer(), seed))
	const sum = (values: readonly number[]): number =>
		values.reduce((total, value) => total + value, 0)
	expect(sum(after.map(({ busyTime }) => busyTime))).toBeLessThan(
		0.97 * sum(before.map(({ busyTime }) => busyTime))
	)
	for (const { waitingTime } of after) expect(waitingTime).toBe(0)
})

it('fills servers first that a lasting task keeps busy', () => {
	const { jobs, backends, planner, configuration } = createTestTables({
		backends: 3,
		scorer: new DrainingScorer(),
	})
	const lasting = backends.getOrCreate('b2')
	const [first] = planFor('lasting', { count: 1, lasting: true })
	if (!first) throw new Error('nothing was placed')
	expect(planFor('short', { count: 4, estimate: 500 })).toEqual(Array(4).fill(first))
	expect(lasting.tasks.size === 0 || first === lasting.id).toBe(true)

	function planFor(id: JobId, step: object): string[] {
		jobs.add(createTestJob(id, [step]))
		return planner.plan(configuration, 0, 0).map(({ backend }) => backend.id)
	}
})

/** Returns the milliseconds that servers were busy and that tasks waited, over all of them. */
function simulate(scorer: BackendScorer, seed: number) {
	const { jobs, backends, planner, configuration } = createTestTables({
		backends: BACKENDS,
		scorer,
	})
	const demand = createTestDemand({ seed, jobsPerSecond: 30, duration: 6_000 })
		// The demand falls to nothing over the time.
		.filter((_, index) => (index * 7) % 180 > index)
	const durations = new Map(demand.map(({ job, durations: all }) => [job.id, all]))
	const runs = new Map<TaskRow, number>()
	let busyTime = 0
	let waitingTime = 0
	for (let now = 0; now < END; now += TICK) {
		for (const [task, endsAt] of runs) {
			if (endsAt > now) continue
			runs.delete(task)
			applyRunEnding(task, 'done', '', 1, backends)
		}
		while (demand[0] && demand[0].job.acceptedAt <= now) {
			const next = demand.shift()
			if (next) jobs.add(next.job)
		}
		const pendingBefore = planner.plan(configuration, now, now)
		for (const { task } of pendingBefore) {
			task.startedAt = now
			runs.set(task, now + (durations.get(task.job.job.id)?.[task.stepNumber] ?? 0))
		}
		for (const backend of backends.all) if (backend.tasks.size > 0) busyTime += TICK
		if (planner.backlog.size + planner.lateBacklog.size > 0) waitingTime += TICK
	}
	return { busyTime, waitingTime }
}
