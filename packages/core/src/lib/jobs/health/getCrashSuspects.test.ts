import { describe, expect, it } from 'vitest'
import type { TaskRow } from '../TaskRow.js'
import { applyRunEnding } from '../applyRunEnding.js'
import { getCrashSuspects } from './getCrashSuspects.js'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'

/** Returns placed tasks of a job, whose start orders were sent and accepted 100 ms before. */
function placeTasks(
	tables: ReturnType<typeof createTestTables>,
	id: string,
	count: number
): TaskRow[] {
	const { tasks } = tables.jobs.add(createTestJob(id, [{ count }]))
	tables.planner.plan(tables.configuration, 0, 0)
	return tasks.map((task) =>
		Object.assign(task, { orderState: 'confirmed', startedAt: 0, listedAt: 100 })
	)
}

function getSuspicions(tasks: readonly TaskRow[]): Record<string, string> {
	return Object.fromEntries(
		getCrashSuspects(tasks).map(({ task, suspicion }) => [task.id, suspicion])
	)
}

describe('the suspects of a crash', () => {
	it('are the tasks that have just been started', () => {
		const tables = createTestTables({ backends: 1 })
		const [old, fresh] = [placeTasks(tables, 'a', 1), placeTasks(tables, 'b', 1)].flat()
		if (!old || !fresh) throw new Error('no tasks')
		old.listedAt = 1_000
		expect(getSuspicions([old, fresh])).toEqual({ 'b.0.0.0': 'sole' })
	})

	it('of several jobs share the suspicion, of one job they do not', () => {
		const tables = createTestTables({ backends: 1 })
		const first = placeTasks(tables, 'a', 2)
		expect(getSuspicions(first)).toEqual({ 'a.0.0.0': 'sole', 'a.0.0.1': 'sole' })
		const second = placeTasks(tables, 'b', 1)
		expect(new Set(Object.values(getSuspicions([...first, ...second])))).toEqual(
			new Set(['shared'])
		)
	})

	it('are not sure to have begun if their orders got no answer', () => {
		const tables = createTestTables({ backends: 1 })
		const [task] = placeTasks(tables, 'a', 1)
		if (!task) throw new Error('no task')
		Object.assign(task, { orderState: 'unclear', listedAt: -Infinity })
		expect(getSuspicions([task])).toEqual({ 'a.0.0.0': 'unconfirmed' })
		// Started apart from others after an earlier crash, it is the only cause that is left.
		task.isSuspected = true
		expect(getSuspicions([task])).toEqual({ 'a.0.0.0': 'sole' })
	})
})

// Guards against a job that is given up although only one server has crashed under its task.
it('a crash under a run that may not have begun does not count, and the next start is apart', () => {
	const tables = createTestTables({ backends: 2 })
	const [task] = placeTasks(tables, 'a', 1)
	if (!task) throw new Error('no task')
	const crash = (suspicion: TaskRow['crashSuspicion']): string => {
		task.crashSuspicion = suspicion
		applyRunEnding(task, 'lost', '', 2, tables.backends)
		const { phase, crashes, isSuspected } = task
		if (phase === 'pending') tables.planner.plan(tables.configuration, 0, 0)
		return `${phase} ${crashes} ${String(isSuspected)}`
	}
	expect(crash('unconfirmed')).toBe('pending 0 true')
	expect(crash('sole')).toBe('pending 1 true')
	expect(crash('sole')).toBe('failed 2 true')
})
