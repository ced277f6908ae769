import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createAllowanceSimulation } from './createAllowanceSimulation.js'

const SEED = 20261203
const RUNS = 4000

type Simulation = ReturnType<typeof createAllowanceSimulation>

interface Step {
	readonly label: string
	readonly run: (simulation: Simulation) => void
}

const node = fc.nat(7)
const team = fc.nat(1)
const limit = fc.oneof(fc.nat(9), fc.nat(3000))
const fate = fc.constantFrom('deliver', 'deliver', 'deliver', 'duplicate', 'drop' as const)
/** Durations in milliseconds. The constants end just within a loan, a run, a lease or a floor lease. */
const pause = fc.oneof(
	fc.nat(2000),
	fc.nat(30_000),
	fc.nat(200_000),
	fc.nat(4_000_000),
	fc.constantFrom(19_500, 29_500, 118_500, 3_563_000)
)

function createStep<Values extends unknown[]>(
	name: string,
	values: { [Index in keyof Values]: fc.Arbitrary<Values[Index]> },
	run: (simulation: Simulation, ...values: Values) => void
): fc.Arbitrary<Step> {
	return fc.tuple<Values>(...values).map((drawn) => ({
		label: `${name} ${drawn.join(' ')}`,
		run: (simulation: Simulation) => {
			run(simulation, ...drawn)
		},
	}))
}

/** Delivers all messages and updates every entry instance, as in a period without faults. */
function settle(simulation: Simulation, heartbeats: boolean): void {
	for (let index = 0; index < 8; index++) {
		if (heartbeats) simulation.heartbeat(index)
	}
	simulation.deliverAll()
	for (let index = 0; index < 8; index++) {
		simulation.read(index, Infinity)
		simulation.tick(index, 3)
	}
	simulation.deliverAll()
	simulation.deliverAll()
}

function createWeighted(weight: number, arbitrary: fc.Arbitrary<Step>) {
	return { weight, arbitrary }
}

const steps = fc.oneof(
	createWeighted(4, createStep('settle', [fc.boolean()], settle)),
	createWeighted(
		6,
		createStep('read', [node, fc.nat(9)], (simulation, ...values) => {
			simulation.read(...values)
		})
	),
	createWeighted(
		6,
		createStep('tick', [node, fc.nat(20)], (simulation, ...values) => {
			simulation.tick(...values)
		})
	),
	createWeighted(
		8,
		createStep('start', [node, team, fc.nat(3000), fc.nat(9000)], (simulation, ...values) => {
			simulation.start(...values)
		})
	),
	createWeighted(
		3,
		createStep('finish', [node, fc.nat(3000)], (simulation, ...values) => {
			simulation.finish(...values)
		})
	),
	createWeighted(
		8,
		createStep('deliver', [fc.nat(500), fate], (simulation, ...values) => {
			simulation.deliver(...values)
		})
	),
	createWeighted(
		3,
		createStep('heartbeat', [node], (simulation, ...values) => {
			simulation.heartbeat(...values)
		})
	),
	createWeighted(
		5,
		createStep('advance', [pause], (simulation, ...values) => {
			simulation.advance(...values)
		})
	),
	createWeighted(
		1,
		createStep('replace', [node], (simulation, ...values) => {
			simulation.replace(...values)
		})
	),
	createWeighted(
		1,
		createStep('leave', [node], (simulation, ...values) => {
			simulation.leave(...values)
		})
	),
	createWeighted(
		1,
		createStep('setLimit', [team, limit], (simulation, ...values) => {
			simulation.setLimit(...values)
		})
	),
	createWeighted(
		1,
		createStep('setRunBound', [fc.nat(300_000)], (simulation, ...values) => {
			simulation.setRunBound(...values)
		})
	)
)

const setup = fc.record({
	rates: fc.array(fc.double({ min: 0.99, max: 1.01, noNaN: true }), { minLength: 8, maxLength: 8 }),
	limits: fc.tuple(limit, limit),
	runMilliseconds: fc.constantFrom(1000, 30_000, 600_000),
})

test('running requests stay within the limit despite lost, late and duplicated messages, pauses and replacements', () => {
	const counts = { started: 0 }
	fc.assert(
		fc.property(setup, fc.array(steps, { minLength: 40, maxLength: 120 }), (options, history) => {
			const simulation = createAllowanceSimulation(options)
			settle(simulation, true)
			settle(simulation, false)
			for (const step of history) step.run(simulation)
			counts.started += simulation.started.count
			expect(simulation.violations).toEqual([])
		}),
		{ seed: SEED, numRuns: RUNS }
	)
	expect(counts.started).toBeGreaterThan(RUNS * 100)
})
