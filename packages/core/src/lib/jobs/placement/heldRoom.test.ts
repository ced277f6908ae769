import { expect, it } from 'vitest'
import type { BackendId } from '../BackendId.js'
import type { JobStep } from '../JobStep.js'
import type { TaskPlacement } from './TaskPlacement.js'
import { applyRunEnding } from '../applyRunEnding.js'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'

const BACKENDS = 3
/** Cores of a short task; 18 fill a server of 16 cores. */
const SHORT_NEEDS = { cpu: 880, memory: 100, gpu: 0 }
const SHORT_TASKS_PER_BACKEND = 18

// Guards against a lasting task that never runs beside short tasks: each place that one of them left was
// taken by the next before there was room for the lasting task.
it('a lasting task that fits on no server gets room as short tasks end, though others wait', () => {
	const { addLasting, endOneTaskOnEach } = createFullPool()
	const isPlaced = addLasting({ needs: { ...SHORT_NEEDS, cpu: 2_700 } })
	for (let round = 1; round <= 3; round += 1) endOneTaskOnEach()
	expect(isPlaced()).toBe(true)
})

it('a lasting task that wants a server without another of its step gets room there', () => {
	const { addLasting, endOneTaskOnEach } = createFullPool()
	const isPlaced = addLasting({ count: BACKENDS, maximumPerBackend: 1, needs: SHORT_NEEDS })
	endOneTaskOnEach()
	expect(isPlaced()).toBe(true)
	const isWidePlaced = addLasting({
		count: BACKENDS,
		maximumPerBackend: 1,
		needs: { ...SHORT_NEEDS, cpu: 3_500 },
	})
	for (let round = 1; round <= 4 * BACKENDS; round += 1) endOneTaskOnEach()
	expect(isWidePlaced()).toBe(true)
})

// Guards against room that stands empty without need.
it('room is held on one server for each step, and short tasks go on on the others', () => {
	const { addLasting, endOneTaskOnEach } = createFullPool()
	addLasting({ count: 2, needs: { ...SHORT_NEEDS, cpu: 2_700 } })
	const used = new Set(endOneTaskOnEach().map(({ backend }) => backend.id))
	expect(used.size).toBe(BACKENDS - 1)
})

it('no room is held where a task would not fit beside the lasting ones', () => {
	const { addLasting, endOneTaskOnEach } = createFullPool()
	const lasting = { count: BACKENDS, maximumPerBackend: 1 }
	const isPlaced = addLasting({ ...lasting, needs: SHORT_NEEDS })
	endOneTaskOnEach()
	expect(isPlaced()).toBe(true)
	addLasting({ ...lasting, needs: { ...SHORT_NEEDS, cpu: 15_500 } })
	expect(endOneTaskOnEach()).toHaveLength(BACKENDS)
})

/** Creates a pool full of short tasks, with many more of them waiting. */
function createFullPool(): {
	/** Adds a job of one lasting step. Returns whether all its tasks are placed. */
	readonly addLasting: (step: Partial<JobStep>) => () => boolean
	/** Ends one short task on each server, one after the other, and plans after each. */
	readonly endOneTaskOnEach: () => TaskPlacement[]
} {
	const { jobs, backends, planner, configuration } = createTestTables({ backends: BACKENDS })
	const count = BACKENDS * SHORT_TASKS_PER_BACKEND
	jobs.add(createTestJob('a', [{ count: 20 * count, needs: SHORT_NEEDS }]))
	const plan = (): TaskPlacement[] => planner.plan(configuration, 0, 0)
	plan()
	const endOneTask = (id: BackendId): void => {
		const tasks = [...(backends.get(id)?.tasks.values() ?? [])]
		const task = tasks.find(({ step }) => !step.lasting)
		if (task) applyRunEnding(task, 'done', '', 1, backends)
	}
	return {
		addLasting: (step) => {
			const row = jobs.add(createTestJob(`b${jobs.active.size}`, [{ ...step, lasting: true }]))
			return () => row.tasks.every(({ phase }) => phase === 'placed')
		},
		endOneTaskOnEach: () =>
			[...backends.all].flatMap(({ id }) => {
				endOneTask(id)
				return plan()
			}),
	}
}
