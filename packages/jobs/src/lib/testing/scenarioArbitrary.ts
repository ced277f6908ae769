import fc from 'fast-check'
import type { ScenarioFault } from './ScenarioFault.js'

/** Longest pause between two faults of a series, and longest fault, in milliseconds. */
const MAXIMUM_PAUSE = 5_000
const MAXIMUM_DURATION = 6_000
const MINIMUM_DURATION = 50
const MAXIMUM_FAULTS = 8
const MAXIMUM_TARGET = 7
/** Kinds and how often each is drawn; changes of the owner and losses of servers most. */
const KINDS: readonly [ScenarioFault['kind'], number][] = [
	['server-gone', 4],
	['server-back', 3],
	['server-cut', 3],
	['server-cut-from-owner', 2],
	['server-cut-from-others', 2],
	['server-answers-lost', 2],
	['rebalance', 4],
	['owner-stopped', 2],
	['owner-killed', 4],
	['owner-paused', 3],
	['owner-cut', 2],
	['owner-answers-lost', 2],
	['instance-killed', 1],
	['instance-paused', 1],
	['power-loss', 2],
	['late-starts', 2],
	['progress-down', 2],
	['intake-down', 1],
	['compact', 1],
	['slow-log', 1],
]

/**
 * Draws series of faults that may overlap.
 *
 * @internal
 */
export const scenarioArbitrary: fc.Arbitrary<ScenarioFault[]> = fc.array(
	fc.record({
		kind: fc.oneof(...KINDS.map(([kind, weight]) => ({ arbitrary: fc.constant(kind), weight }))),
		pause: fc.integer({ min: 0, max: MAXIMUM_PAUSE }),
		duration: fc.integer({ min: MINIMUM_DURATION, max: MAXIMUM_DURATION }),
		target: fc.integer({ min: 0, max: MAXIMUM_TARGET }),
	}),
	{ minLength: 1, maxLength: MAXIMUM_FAULTS }
)
