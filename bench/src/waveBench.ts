import type { Milliseconds } from '@mastichead/core'
import { runWave } from './waves/runWave.js'
import type { WaveScenario } from './waves/WaveScenario.js'

const MINUTE: Milliseconds = 60_000
const HOUR = 60 * MINUTE

const today = {
	zones: 3,
	pools: 5,
	servers: 35,
	maximumUnavailable: 2,
	parallelism: 10,
	drain: 30_000,
	maintenance: 5 * MINUTE,
	tick: 500,
}
const large = {
	zones: 9,
	pools: 211,
	servers: 6000,
	maximumUnavailable: 3,
	parallelism: 120,
	drain: MINUTE,
	maintenance: 20 * MINUTE,
	tick: 30_000,
}
const faults = { killInterval: 7 * MINUTE, outageInterval: 30 * MINUTE, outage: 90_000 }
const rack = { rackDiesAt: 10 * MINUTE, rackDeadFor: 10 * MINUTE }

const scenarios: readonly WaveScenario[] = [
	{ ...today, name: 'today' },
	{ ...today, name: 'today, one out per pool', maximumUnavailable: 1 },
	{ ...today, ...faults, name: 'today, kills and outages' },
	{ ...today, ...faults, ...rack, name: 'today, a rack dies too' },
	{ ...large, name: 'letter 1' },
	{
		...large,
		...faults,
		...rack,
		rackDeadFor: HOUR,
		name: 'letter 1, kills, outages, a rack dies',
	},
]

interface Row {
	readonly scenario: string
	readonly servers: number
	readonly pools: number
	readonly rollOutHours: number
	readonly lowerBoundHours: number
	readonly ratio: number
	readonly appends: number
	readonly rejected: number
	readonly brokenBudgets: number
	readonly plannerMillisecondsPerTick: number
}

/**
 * Measures how long waves over the whole fleet take against the time that no order of steps could
 * beat: the sum of all steps over the parallelism, and per pool over what its budget lets out.
 *
 * @public
 */
export function waveBench({ seed }: { readonly seed: number }): Row[] {
	return scenarios.map((scenario) => {
		const result = runWave(scenario, seed)
		return {
			scenario: scenario.name,
			servers: scenario.servers,
			pools: scenario.pools,
			rollOutHours: round(result.rollOut / HOUR),
			lowerBoundHours: round(result.lowerBound / HOUR),
			ratio: round(result.rollOut / result.lowerBound),
			appends: result.appends,
			rejected: result.rejected,
			brokenBudgets: result.broken,
			plannerMillisecondsPerTick: round(result.plannerMilliseconds / result.ticks),
		}
	})
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000
}
