import { expect, it } from 'vitest'
import { createTestJob } from '../testing/createTestJob.js'
import { createTestTables } from '../testing/createTestTables.js'
import { explainJob } from './explainJob.js'

const NOW = 1_000
const needs = { cpu: 1_000, memory: 1_000, gpu: 0 }

it('distinguishes running, finished and dependent steps', () => {
	const { reasons, plan } = explain([
		{ count: 2, needs },
		{ count: 1, needs, dependsOn: [0] },
	])
	plan()
	expect(reasons()).toEqual([
		{ step: 0, waiting: 0, placed: 2, reason: undefined },
		{ step: 1, waiting: 1, placed: 0, reason: 'dependency' },
	])
})

it.each([
	['no-room', { needs: { ...needs, cpu: 9_000 }, count: 3 }, {}],
	['too-large', { needs: { ...needs, cpu: 17_000 }, count: 1 }, {}],
	['team-limit', { needs, count: 5 }, { limit: { cpu: 4_000, memory: 0, gpu: 0 } }],
	['no-backend', { needs, count: 1 }, { backends: 0 }],
] as const)('gives the reason %s', (reason, step, options) => {
	const { reasons, plan } = explain([step], options)
	plan()
	expect(reasons()[0]).toMatchObject({ reason })
})

// Guards against an explanation that there is room while no server may take a further task of the step.
it('gives the reason no-room for a task that wants a server without another task of its step', () => {
	const { reasons, plan } = explain([{ count: 3, needs, maximumPerBackend: 1 }])
	plan()
	expect(reasons()[0]).toMatchObject({ waiting: 1, reason: 'no-room' })
})

it('gives the reason order for a task that fits and waits for the next plan', () => {
	const { reasons } = explain([{ count: 1, needs }])
	expect(reasons()[0]).toMatchObject({ waiting: 1, reason: 'order' })
})

it('gives the reason probation for a task that may have crashed a server', () => {
	const { reasons, row } = explain([{ count: 1, needs }])
	for (const task of row.tasks) task.isSuspected = true
	expect(reasons()[0]).toMatchObject({ waiting: 1, reason: 'probation' })
})

it('gives the reason pausing for a task that may not be placed again yet', () => {
	const { reasons, row } = explain([{ count: 1, needs }])
	for (const task of row.tasks) task.notBefore = NOW + 100
	expect(reasons()[0]).toMatchObject({ reason: 'pausing' })
})

function explain(
	steps: Parameters<typeof createTestJob>[1],
	options: Partial<Parameters<typeof createTestTables>[0]> = {}
) {
	const tables = createTestTables({ backends: 2, ...options })
	const { jobs, backends, planner, configuration } = tables
	const row = jobs.add(createTestJob('00000000000000a1', steps, 0))
	return {
		row,
		plan: () => planner.plan(configuration, NOW, NOW),
		reasons: () =>
			explainJob(row, { backends, configuration, now: NOW, wallTime: NOW }).map(
				({ step, waiting, placed, reason }) => ({ step, waiting, placed, reason })
			),
	}
}
