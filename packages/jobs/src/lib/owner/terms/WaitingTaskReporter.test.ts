import type { BackendRow, JobStep, PoolState, TaskRow } from '@mastichead/core'
import {
	BinPackingScorer,
	LeastSlackPolicy,
	PlacementPlanner,
	VirtualTimerService,
	createTestConfiguration,
	createTestJob,
} from '@mastichead/core'
import { expect, it } from 'vitest'
import { createTestContext } from '../../testing/createTestContext.js'
import { MemoryEventLog } from '../../testing/MemoryEventLog.js'
import { WaitingTaskReporter } from './WaitingTaskReporter.js'

const needs = { cpu: 1_300, memory: 1_000, gpu: 0 }
const lastingStep = { lasting: true, needs, maximumPerBackend: 1 }

// Guards against a lasting task that stands for seconds without a line that says why.
it('says why a lasting task waits, after a second and every two seconds', () => {
	const { events, advance } = createReporter({ step: { count: 4 }, servers: 5 }, (rows) => {
		const [, full, silent, closing] = rows
		if (full) full.used = { cpu: 15_000, memory: 0, gpu: 0 }
		if (silent) silent.reachable = false
		if (closing) closing.cordoned = true
	})
	advance(1_000)
	expect(events.lines).toEqual([])
	advance(6_000)
	const lines = events.get('lasting-task-waits')
	expect(lines).toHaveLength(3)
	expect(lines[0]).toMatchObject({
		step: '00000000000000a1.0.0',
		tasks: ['00000000000000a1.0.0.2', '00000000000000a1.0.0.3'],
		waiting: 2,
		reason: 'no-room',
		service: 'desk',
		servers: { 'sibling-limit': 2, room: 1, unreachable: 1, closing: 1 },
		teamLimited: false,
		machines: 3,
		arriving: 1,
		appendDelay: 40,
	})
	expect(lines[0]?.waited).toBeGreaterThan(1_000)
	expect(lines[0]?.waited).toBeLessThan(1_500)
})

it('names the label and the limit of the team', () => {
	const label = createReporter({ step: { requiredLabel: 'gpu' }, servers: 2 })
	label.advance(2_000)
	expect(label.events.get('lasting-task-waits')).toMatchObject([
		{ reason: 'too-large', servers: { label: 2 } },
	])
	const limit = { cpu: 1_000, memory: 0, gpu: 0 }
	const team = createReporter({ step: {}, servers: 1, limit })
	team.advance(2_000)
	expect(team.events.get('lasting-task-waits')).toMatchObject([
		{ reason: 'team-limit', servers: { free: 1 }, teamLimited: true },
	])
})

// Guards against a lasting task that counts as running on a server that nobody can ask.
it('names a placed task that no listing has named for three seconds', () => {
	const { events, advance, tasks, rows } = createReporter({ step: {}, servers: 1 })
	const [task, row] = [tasks[0], rows[0]]
	if (!task || !row) throw new Error('there is a task and a server')
	Object.assign(task, { orderState: 'confirmed', percent: 100 })
	advance(10_000)
	expect(events.lines).toEqual([])
	row.reachable = false
	row.leasesExpireBy = 20_000
	advance(3_000)
	expect(events.lines).toEqual([])
	advance(4_000)
	const lines = events.get('lasting-task-unlisted')
	expect(lines).toHaveLength(2)
	expect(lines[0]).toMatchObject({ task: task.id, server: 'unreachable', orderState: 'confirmed' })
	expect(lines[0]?.leasesExpireIn).toBeLessThan(7_000)
})

// Guards against a silence that goes on counting after the task was placed again.
it('counts the silence of each attempt by itself', () => {
	const { events, advance, tasks } = createReporter({ step: {}, servers: 1 })
	const [task] = tasks
	if (!task) throw new Error('there is a task')
	advance(2_500)
	task.attempt += 1
	advance(2_000)
	expect(events.lines).toEqual([])
})

it('names a placed task whose start order has no answer', () => {
	const { events, advance, tasks } = createReporter({ step: {}, servers: 1 })
	if (tasks[0]) tasks[0].orderState = 'unclear'
	advance(4_000)
	expect(events.get('lasting-task-unlisted')).toMatchObject([
		{ server: 'usable', orderState: 'unclear', percent: 0 },
	])
})

// Guards against a log that is flooded while a pool has no server.
it('writes ten lines at a time at most, and reaches every step', () => {
	const { events, advance } = createReporter({ step: {}, servers: 0, jobs: 25 })
	advance(1_500)
	expect(events.lines).toHaveLength(10)
	advance(500)
	expect(new Set(events.lines.map(({ fields }) => fields.step)).size).toBe(25)
})

it('says nothing of tasks that end by themselves, or wait for an earlier step', () => {
	const { events, advance } = createReporter({ step: { lasting: false }, servers: 0 })
	advance(5_000)
	expect(events.lines).toEqual([])
})

/**
 * Creates a reporter over jobs of one lasting step in the pool `desk`, and places what can be placed.
 *
 * @param prepare - changes the servers before the placement
 */
function createReporter(
	options: {
		readonly step: Partial<JobStep>
		readonly servers: number
		readonly jobs?: number
		/** Limit of the team. */
		readonly limit?: Parameters<typeof createTestConfiguration>[0]
	},
	prepare: (rows: readonly BackendRow[]) => void = () => undefined
): {
	readonly events: MemoryEventLog
	readonly tasks: readonly TaskRow[]
	readonly rows: readonly BackendRow[]
	readonly advance: (duration: number) => void
} {
	const timers = new VirtualTimerService()
	const events = new MemoryEventLog()
	const configuration = createTestConfiguration(options.limit)
	const context = { ...createTestContext(timers), events, getConfiguration: () => configuration }
	const { jobs, backends } = context
	const rows = Array.from({ length: options.servers }, (_, index) =>
		Object.assign(backends.getOrCreate(`b${index}`), {
			service: 'desk',
			capacity: { cpu: 16_000, memory: 64_000, gpu: 0 },
			registered: true,
			reconciled: true,
		})
	)
	prepare(rows)
	const tasks: TaskRow[] = []
	for (let number = 1; number <= (options.jobs ?? 1); number += 1) {
		const id = `00000000000000a${number}`
		tasks.push(...jobs.add(createTestJob(id, [{ ...lastingStep, ...options.step }])).tasks)
	}
	const planner = new PlacementPlanner(
		jobs,
		backends,
		new LeastSlackPolicy(),
		new BinPackingScorer()
	)
	planner.plan(configuration, 0, 0)
	const pool = { machines: [{}, {}, {}], arrivingMachines: 1 } as unknown as PoolState
	const reporter = new WaitingTaskReporter(
		context,
		() => pool,
		({ leasesExpireBy }) => leasesExpireBy,
		() => 40
	)
	reporter.start()
	const advance = (duration: number): void => {
		timers.advance(duration)
	}
	return { events, tasks, rows, advance }
}
