import { describe, expect, it } from 'vitest'
import type { TaskPlacement } from '../placement/TaskPlacement.js'
import type { TaskRow } from '../TaskRow.js'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'

/** Time after which a run has survived its start, in milliseconds. */
const SURVIVAL = 300

type Tables = ReturnType<typeof createTestTables>

function addTasks(tables: Tables, id: string, count: number): TaskRow[] {
	return tables.jobs.add(createTestJob(id, [{ count }])).tasks
}

/** Adds jobs of one task that may have crashed a server. */
function addSuspects(tables: Tables, count: number): TaskRow[] {
	const suspects = Array.from({ length: count }, (_, index) => addTasks(tables, `s${index}`, 1))
	return suspects.flat().map((task) => Object.assign(task, { crashes: 1, isSuspected: true }))
}

function plan({ planner, configuration }: Tables): TaskPlacement[] {
	return planner.plan(configuration, 0, 0)
}

/** Marks placed tasks as started and found running `age` milliseconds later. */
function run(tasks: readonly TaskRow[], age: number): void {
	for (const task of tasks) Object.assign(task, { startedAt: 0, listedAt: age })
}

function getServers(tasks: readonly TaskRow[]): (string | undefined)[] {
	return tasks.map(({ backend }) => backend)
}

// Pattern: after a crash many tasks are suspects, while jobs go on to come in.
describe('tasks that may have crashed servers', () => {
	it('are started on different servers, and beside no other start', () => {
		const tables = createTestTables({ backends: 6 })
		const suspects = addSuspects(tables, 3)
		const others = addTasks(tables, 'b', 20)
		plan(tables)
		const used = getServers(suspects)
		expect(new Set(used).size).toBe(3)
		expect(used).not.toContain(undefined)
		expect(getServers(others).filter((server) => used.includes(server))).toEqual([])
	})

	it('use half of the servers at a time, and the others go on', () => {
		const tables = createTestTables({ backends: 4 })
		const suspects = addSuspects(tables, 10)
		const others = addTasks(tables, 'b', 30)
		plan(tables)
		expect(suspects.filter(({ phase }) => phase === 'placed')).toHaveLength(2)
		expect(others.filter(({ phase }) => phase === 'placed')).toHaveLength(30)
	})

	it('are followed by others once they have survived their starts', () => {
		const tables = createTestTables({ backends: 1 })
		const [suspect] = addTasks(tables, 'a', 1)
		const others = addTasks(tables, 'b', 4)
		if (!suspect) throw new Error('no task')
		suspect.isSuspected = true
		plan(tables)
		run([suspect], SURVIVAL - 1)
		expect(plan(tables)).toEqual([])
		run([suspect], SURVIVAL)
		expect(plan(tables)).toHaveLength(others.length)
	})

	it('wait longer to be trusted the more crashes they may have caused', () => {
		const tables = createTestTables({ backends: 1 })
		const [suspect] = addTasks(tables, 'a', 1)
		addTasks(tables, 'b', 1)
		if (!suspect) throw new Error('no task')
		Object.assign(suspect, { crashes: 2, isSuspected: true })
		plan(tables)
		run([suspect], SURVIVAL)
		expect(plan(tables)).toEqual([])
		run([suspect], SURVIVAL * 4)
		expect(plan(tables)).toHaveLength(1)
	})

	it('are not kept waiting by starts of others that never pause', () => {
		const tables = createTestTables({ backends: 2 })
		const busy = [addTasks(tables, 'b', 8), addTasks(tables, 'c', 24)].flat()
		plan(tables)
		const [suspect] = addTasks(tables, 'a', 1)
		if (!suspect) throw new Error('no task')
		suspect.isSuspected = true
		run(busy, 0)
		const stream = addTasks(tables, 'd', 40)
		// Each round one task ends on each server, and the next one is started there.
		for (let round = 0; round < 4 && suspect.phase === 'pending'; round += 1) {
			for (const backend of tables.backends.all) {
				const [ending] = backend.tasks.values()
				if (!ending) continue
				tables.backends.release(ending)
				ending.phase = 'done'
			}
			for (const task of [...busy, ...stream]) if (task.phase === 'placed') run([task], SURVIVAL)
			const placed = plan(tables).map(({ task }) => task)
			run(placed, 0)
		}
		expect(suspect.phase).toBe('placed')
		expect(stream.some(({ phase }) => phase === 'placed')).toBe(true)
	})

	it('wait for the same server in each plan, although another one has fewer tasks now and then', () => {
		const tables = createTestTables({ backends: 2 })
		const first = addTasks(tables, 'b', 16)
		plan(tables)
		const second = addTasks(tables, 'c', 16)
		plan(tables)
		for (const task of first) Object.assign(task, { startedAt: 0, listedAt: 0 })
		for (const task of second) Object.assign(task, { startedAt: 10, listedAt: 10 })
		const [suspect] = addSuspects(tables, 1)
		const end = (task: TaskRow | undefined): void => {
			if (!task) return
			tables.backends.release(task)
			task.phase = 'done'
		}
		for (const round of [1, 2, 3]) {
			end(first[round])
			for (const task of second.slice(round * 4, round * 4 + 4)) end(task)
			const stream = addTasks(tables, `d${round}`, 1)
			plan(tables)
			expect(stream[0]?.backend).toBe(second[0]?.backend)
		}
		run(first, SURVIVAL)
		plan(tables)
		expect(suspect?.backend).toBe(first[0]?.backend)
	})

	it('share a server with those of their job, since either of them brings down the job', () => {
		const tables = createTestTables({ backends: 4 })
		const suspects = addTasks(tables, 'a', 3)
		for (const task of suspects) task.isSuspected = true
		plan(tables)
		expect(new Set(getServers(suspects)).size).toBe(1)
		expect(getServers(suspects)).not.toContain(undefined)
	})

	it('of a gang are placed together with it, also on a single server', () => {
		const tables = createTestTables({ backends: 1 })
		const { tasks } = tables.jobs.add(createTestJob('a', [{ count: 4, gang: true }]))
		const [, suspect] = tasks
		if (!suspect) throw new Error('no task')
		suspect.isSuspected = true
		expect(plan(tables)).toHaveLength(4)
	})
})
