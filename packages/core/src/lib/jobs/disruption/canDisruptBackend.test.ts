import { describe, expect, it } from 'vitest'
import { canDisruptBackend } from './canDisruptBackend.js'
import { canDisruptTask } from './canDisruptTask.js'
import type { TaskRow } from '../TaskRow.js'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'

describe('canDisruptBackend with lasting tasks', () => {
	it('is false while another task of the step is unavailable or being stopped', () => {
		const { tasks, backends } = createLastingStep(1)
		const [first, second] = tasks
		const backend = backends.get(first?.backend ?? '')
		if (!first || !second || !backend) throw new Error('no task of the step was placed')
		expect(canDisruptBackend(backend)).toBe(true)
		second.stopping = true
		expect(canDisruptBackend(backend)).toBe(false)
		expect(canDisruptTask(first)).toBe(false)
		second.stopping = false
		second.availableSince = undefined
		expect(canDisruptTask(first)).toBe(false)
	})

	it('counts a task that has just started as possibly available', () => {
		const { tasks, backends } = createLastingStep(1)
		const [first, second] = tasks
		const backend = backends.get(first?.backend ?? '')
		if (!first || !second || !backend) throw new Error('no task of the step was placed')
		first.availableSince = undefined
		second.availableSince = undefined
		expect(canDisruptBackend(backend)).toBe(false)
	})

	it('is false if it would stop more tasks of a step than may be unavailable', () => {
		const { tasks, backends } = createLastingStep(4)
		const backend = backends.get(tasks[0]?.backend ?? '')
		if (!backend) throw new Error('no task of the step was placed')
		expect(backend.tasks.size).toBeGreaterThan(1)
		expect(canDisruptBackend(backend)).toBe(false)
	})
})

function createLastingStep(maximumPerBackend: number): {
	tasks: TaskRow[]
	backends: ReturnType<typeof createTestTables>['backends']
} {
	const { jobs, backends, planner, configuration } = createTestTables({ backends: 4 })
	const row = jobs.add(
		createTestJob('a', [{ count: 4, lasting: true, mayMiss: 1, maximumPerBackend }])
	)
	planner.plan(configuration, 0, 0)
	for (const task of row.tasks) task.availableSince = 0
	return { tasks: row.tasks, backends }
}
