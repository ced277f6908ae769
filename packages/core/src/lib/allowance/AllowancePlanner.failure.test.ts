import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createAllowanceSimulation } from './createAllowanceSimulation.js'

const SEED = 20261203
const RUNS = 4000

type History = ReturnType<typeof createAllowanceSimulation>

interface Step {
	readonly label: string
	readonly run: (history: History) => void
}

const node = fc.nat(7)
const team = fc.nat(1)
const limit = fc.oneof(fc.nat(9), fc.nat(3000))
const fate = fc.constantFrom('deliver', 'deliver', 'deliver', 'duplicate', 'drop' as const)
/** Pauses of any length, and such as end just within a loan, a run, a lease or a floor lease. */
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
	run: (history: History, ...values: Values) => void
): fc.Arbitrary<Step> {
	return fc.tuple<Values>(...values).map((drawn) => ({
		label: `${name} ${drawn.join(' ')}`,
		run: (history: History) => {
			run(history, ...drawn)
		},
	}))
}

/** Brings every entry instance up to date, as when nothing is wrong for a while. */
function settle(history: History, heartbeats: boolean): void {
	for (let index = 0; index < 8; index++) {
		if (heartbeats) history.heartbeat(index)
	}
	history.deliverAll()
	for (let index = 0; index < 8; index++) {
		history.read(index, Infinity)
		history.tick(index, 3)
	}
	history.deliverAll()
	history.deliverAll()
}

function weigh(weight: number, arbitrary: fc.Arbitrary<Step>) {
	return { weight, arbitrary }
}

const steps = fc.oneof(
	weigh(4, createStep('settle', [fc.boolean()], settle)),
	weigh(
		6,
		createStep('read', [node, fc.nat(9)], (history, ...values) => {
			history.read(...values)
		})
	),
	weigh(
		6,
		createStep('tick', [node, fc.nat(20)], (history, ...values) => {
			history.tick(...values)
		})
	),
	weigh(
		8,
		createStep('start', [node, team, fc.nat(3000), fc.nat(9000)], (history, ...values) => {
			history.start(...values)
		})
	),
	weigh(
		3,
		createStep('finish', [node, fc.nat(3000)], (history, ...values) => {
			history.finish(...values)
		})
	),
	weigh(
		8,
		createStep('deliver', [fc.nat(500), fate], (history, ...values) => {
			history.deliver(...values)
		})
	),
	weigh(
		3,
		createStep('heartbeat', [node], (history, ...values) => {
			history.heartbeat(...values)
		})
	),
	weigh(
		5,
		createStep('advance', [pause], (history, ...values) => {
			history.advance(...values)
		})
	),
	weigh(
		1,
		createStep('replace', [node], (history, ...values) => {
			history.replace(...values)
		})
	),
	weigh(
		1,
		createStep('leave', [node], (history, ...values) => {
			history.leave(...values)
		})
	),
	weigh(
		1,
		createStep('setLimit', [team, limit], (history, ...values) => {
			history.setLimit(...values)
		})
	),
	weigh(
		1,
		createStep('setRunBound', [fc.nat(300_000)], (history, ...values) => {
			history.setRunBound(...values)
		})
	)
)

const setup = fc.record({
	rates: fc.array(fc.double({ min: 0.99, max: 1.01, noNaN: true }), { minLength: 8, maxLength: 8 }),
	limits: fc.tuple(limit, limit),
	runMilliseconds: fc.constantFrom(1000, 30_000, 600_000),
})

test('what runs never passes the limit, whatever is lost, late, doubled, paused or replaced', () => {
	const counts = { started: 0 }
	fc.assert(
		fc.property(setup, fc.array(steps, { minLength: 40, maxLength: 120 }), (options, history) => {
			const trial = createAllowanceSimulation(options)
			settle(trial, true)
			settle(trial, false)
			for (const step of history) step.run(trial)
			counts.started += trial.started.count
			expect(trial.violations).toEqual([])
		}),
		{ seed: SEED, numRuns: RUNS }
	)
	expect(counts.started).toBeGreaterThan(RUNS * 100)
})
