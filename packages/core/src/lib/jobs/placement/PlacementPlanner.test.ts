import { describe, expect, it } from 'vitest'
import { applyRunEnding } from '../applyRunEnding.js'
import { updateJobState } from '../updateJobState.js'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'

describe('placement', () => {
	it('packs tasks, so that the other machines stay idle', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 4 })
		jobs.add(createTestJob('a', [{ count: 10 }]))
		const placements = planner.plan(configuration, 0, 0)
		expect(new Set(placements.map(({ backend }) => backend.id)).size).toBe(1)
	})

	it('prefers servers at full speed to fuller ones that warm up', () => {
		const { jobs, backends, planner, configuration } = createTestTables({ backends: 2 })
		jobs.add(createTestJob('a', [{ count: 2 }]))
		const [first] = planner.plan(configuration, 0, 0)
		if (!first) throw new Error('nothing was placed')
		first.backend.warmupLeft = 500
		jobs.add(createTestJob('b', [{ count: 2 }]))
		const placements = planner.plan(configuration, 0, 0)
		expect(placements.map(({ backend }) => backend.id)).not.toContain(first.backend.id)
		expect([...backends.all].filter(({ warmupLeft }) => warmupLeft > 0)).toHaveLength(1)
	})

	it('places as many tasks as fit and reports the backlog in cores', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 1 })
		jobs.add(createTestJob('a', [{ count: 20 }]))
		expect(planner.plan(configuration, 0, 0)).toHaveLength(16)
		expect(planner.backlog.get('desk')).toBe(4)
	})

	it('enforces the limit of a team over all servers without counting its excess as backlog', () => {
		const limit = { cpu: 5_000, memory: 0, gpu: 0 }
		const { jobs, planner, configuration } = createTestTables({ backends: 2, limit })
		jobs.add(createTestJob('a', [{ count: 20 }]))
		expect(planner.plan(configuration, 0, 0)).toHaveLength(5)
		expect(planner.backlog.get('desk')).toBeUndefined()
	})

	it('places a step only after all tasks of its dependencies are done', () => {
		const { jobs, backends, planner, configuration } = createTestTables({ backends: 1 })
		const row = jobs.add(createTestJob('a', [{ count: 2 }, { count: 1, dependsOn: [0] }]))
		const [first, second] = planner.plan(configuration, 0, 0)
		if (!first || !second) throw new Error('fewer than two tasks were placed')
		applyRunEnding(first.task, 'done', '', 2, backends)
		expect(planner.plan(configuration, 0, 0)).toEqual([])
		applyRunEnding(second.task, 'done', '', 2, backends)
		expect(planner.plan(configuration, 0, 0).map(({ task }) => task.id)).toEqual(['a.0.1.0'])
		expect(row.state).toBe('queued')
	})

	it('places at most maximumPerBackend tasks of a step on each server', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 3 })
		jobs.add(createTestJob('a', [{ count: 5, maximumPerBackend: 2 }]))
		const placements = planner.plan(configuration, 0, 0)
		const counts = ['b1', 'b2', 'b3'].map(
			(id) => placements.filter(({ backend }) => backend.id === id).length
		)
		expect(Math.max(...counts)).toBe(2)
		expect(placements).toHaveLength(5)
	})

	it('limits late jobs to the fullest machines while another pool is short', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 3 })
		jobs.add(createTestJob('a', [{ count: 40, estimate: 1_000 }], 0))
		const muchLater = 60_000
		const placements = planner.plan(configuration, 0, muchLater, (_service, isLate) =>
			isLate ? 1 : undefined
		)
		expect(placements).toHaveLength(16)
		expect(new Set(placements.map(({ backend }) => backend.id)).size).toBe(1)
		expect(planner.backlog.get('desk')).toBeUndefined()
		expect(planner.lateBacklog.get('desk')).toBe(24)
		expect(planner.plan(configuration, 0, muchLater)).toHaveLength(24)
	})

	it('places all tasks of a gang or none', () => {
		const { jobs, backends, planner, configuration } = createTestTables({ backends: 1 })
		jobs.add(createTestJob('a', [{ count: 17, gang: true }]))
		expect(planner.plan(configuration, 0, 0)).toEqual([])
		expect(backends.get('b1')?.used.cpu).toBe(0)
		jobs.add(createTestJob('b', [{ count: 16, gang: true }]))
		expect(planner.plan(configuration, 0, 0)).toHaveLength(16)
	})

	it('prefers the rack that holds the data, and uses another once it is full', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 2 })
		jobs.add(createTestJob('a', [{ count: 17, dataRack: 'r2' }]))
		const places = planner.plan(configuration, 0, 0).map(({ backend }) => backend.id)
		expect(places.filter((id) => id === 'b2')).toHaveLength(16)
		expect(places.filter((id) => id === 'b1')).toHaveLength(1)
	})

	it('places each occurrence of a scheduled job once it is due', () => {
		const { jobs, planner, configuration } = createTestTables({ backends: 1 })
		jobs.add({ ...createTestJob('a', [{}]), times: 2, startAt: 1_000, interval: 500 })
		expect(planner.plan(configuration, 0, 999)).toEqual([])
		expect(planner.plan(configuration, 0, 1_000).map(({ task }) => task.id)).toEqual(['a.0.0.0'])
		expect(planner.plan(configuration, 0, 1_500).map(({ task }) => task.id)).toEqual(['a.1.0.0'])
	})
})

describe('an ended run', () => {
	it('fails its job after the maximum of failed runs, not counting runs that end otherwise', () => {
		const { jobs, backends, planner, configuration } = createTestTables({ backends: 1 })
		const row = jobs.add(createTestJob('a', [{}]))
		for (const ending of ['failed', 'lost', 'lapsed', 'failed'] as const) {
			const [placement] = planner.plan(configuration, 0, 0)
			if (!placement) throw new Error(`no task was placed before the run that ends as ${ending}`)
			row.begun = true
			updateJobState(row, 0)
			applyRunEnding(placement.task, ending, '', 2, backends)
			updateJobState(row, 0)
		}
		expect(row.state).toBe('failed')
		expect(row.tasks[0]?.attempt).toBe(4)
	})

	it('that failed makes the next attempt go to another server', () => {
		const { jobs, backends, planner, configuration } = createTestTables({ backends: 2 })
		jobs.add(createTestJob('a', [{}]))
		const [first] = planner.plan(configuration, 0, 0)
		if (!first) throw new Error('no task was placed')
		applyRunEnding(first.task, 'failed', '', 2, backends)
		const [second] = planner.plan(configuration, 0, 0)
		expect(second?.backend.id).not.toBe(first.backend.id)
	})

	it('of a lasting task is followed by another, however it ended', () => {
		const { jobs, backends, planner, configuration } = createTestTables({ backends: 1 })
		const row = jobs.add(createTestJob('a', [{ lasting: true }]))
		for (const ending of ['failed', 'failed', 'failed', 'done'] as const) {
			const [placement] = planner.plan(configuration, 0, 0)
			if (!placement) throw new Error(`no task was placed before the run that ends as ${ending}`)
			row.begun = true
			updateJobState(row, 0)
			applyRunEnding(placement.task, ending, '', 2, backends)
			updateJobState(row, 0)
		}
		expect(row.state).toBe('running')
		expect(planner.plan(configuration, 0, 0)).toHaveLength(1)
	})
})
