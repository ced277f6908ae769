import type { Milliseconds } from '@mastichead/core'
import { runWave } from './waves/runWave.js'
import type { WaveScenario } from './waves/WaveScenario.js'

const MINUTE: Milliseconds = 60_000
const HOUR = 60 * MINUTE

const currentFleet = {
	zones: 3,
	pools: 5,
	servers: 35,
	maximumUnavailable: 2,
	parallelism: 10,
	drainTime: 30_000,
	maintenanceTime: 5 * MINUTE,
	tickInterval: 500,
}
const targetFleet = {
	zones: 9,
	pools: 211,
	servers: 6000,
	maximumUnavailable: 3,
	parallelism: 120,
	drainTime: MINUTE,
	maintenanceTime: 20 * MINUTE,
	tickInterval: 30_000,
}
const faults = { killInterval: 7 * MINUTE, outageInterval: 30 * MINUTE, outageDuration: 90_000 }
const rackFailure = { rackFailsAt: 10 * MINUTE, rackFailureDuration: 10 * MINUTE }

const scenarios: readonly WaveScenario[] = [
	{ ...currentFleet, name: 'today' },
	{ ...currentFleet, name: 'today, one out per pool', maximumUnavailable: 1 },
	{ ...currentFleet, ...faults, name: 'today, kills and outages' },
	{ ...currentFleet, ...faults, ...rackFailure, name: 'today, a rack dies too' },
	{ ...targetFleet, name: 'letter 1' },
	{
		...targetFleet,
		...faults,
		...rackFailure,
		rackFailureDuration: HOUR,
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
 * Measures how long a wave over the whole fleet takes, compared with a lower bound for any order of
 * steps: the total work divided by the parallelism, or the work of one pool divided by the backend
 * servers that its budget allows to be unavailable, whichever is longer.
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
			rollOutHours: round(result.rolloutTime / HOUR),
			lowerBoundHours: round(result.lowerBound / HOUR),
			ratio: round(result.rolloutTime / result.lowerBound),
			appends: result.appends,
			rejected: result.rejected,
			brokenBudgets: result.brokenBudgets,
			plannerMillisecondsPerTick: round(result.plannerMilliseconds / result.ticks),
		}
	})
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000
}
