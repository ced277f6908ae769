import { LeastOutstandingPlacement } from './placement/policies/LeastOutstandingPlacement.js'
import { PowerOfTwoPlacement } from './placement/policies/PowerOfTwoPlacement.js'
import { RandomPlacement } from './placement/policies/RandomPlacement.js'
import { RendezvousPlacement } from './placement/policies/RendezvousPlacement.js'
import { createArrivals } from './placement/createArrivals.js'
import { computeCentralQueueWaits } from './placement/computeCentralQueueWaits.js'
import type { PlacementScenario } from './placement/PlacementScenario.js'
import type { PlacementMethod } from './placement/PlacementMethod.js'
import { runPlacement } from './placement/runPlacement.js'

/** Slots of the pool: 9 backend servers with 8 each. */
const SLOT_COUNT = 72

const commonSettings = {
	duration: 120_000,
	meanServiceTime: 400,
	failAt: 20_000,
	failingServers: 0,
	weights: [8, 4, 2, 2, 1, 1, 1, 1],
}

const scenarios: readonly PlacementScenario[] = [
	{ ...commonSettings, name: 'steady', load: 0.8, peakFactor: 1 },
	{ ...commonSettings, name: 'peaks', load: 0.8, peakFactor: 5 },
	{ ...commonSettings, name: 'failing server', load: 0.7, peakFactor: 1, failingServers: 1 },
	{ ...commonSettings, name: 'failing server, peaks', load: 0.7, peakFactor: 5, failingServers: 1 },
]

const methods: Readonly<Record<string, PlacementMethod>> = {
	random: { type: 'policy', create: (random) => new RandomPlacement(random) },
	'least outstanding': {
		type: 'policy',
		create: (random) => new LeastOutstandingPlacement(random),
	},
	rendezvous: { type: 'policy', create: (random) => new RendezvousPlacement(random) },
	'power of two': { type: 'policy', create: (random) => new PowerOfTwoPlacement(random) },
	owner: { type: 'owner' },
}

/**
 * Row of the table. Waits are in milliseconds.
 *
 * @internal
 */
interface Row {
	readonly scenario: string
	readonly way: string
	readonly requests: number
	readonly p50Wait: number
	readonly p99Wait: number
	readonly centralP99Wait: number
	readonly p99Ratio: number
	readonly refusedPercent: number
	readonly notRunPercent: number
	readonly spilledPercent: number
	readonly failingPercent: number
	readonly bytesPerSecond: number
}

/**
 * Compares placement methods over 8 entry instances with the same demand, and with one central queue
 * as the baseline, in virtual time.
 *
 * @public
 */
export function placementBench(options: { readonly seed: number }): Row[] {
	return scenarios.flatMap((scenario) => {
		const workingSlots = SLOT_COUNT - 8 * scenario.failingServers
		const requests = createArrivals(scenario, workingSlots, options.seed)
		const central = computeCentralQueueWaits(requests, workingSlots, 0.5)
		return Object.entries(methods).map(([name, method]) => {
			const result = runPlacement(scenario, requests, method)
			const p99Wait = getQuantile(result.waits, 0.99)
			const centralP99Wait = getQuantile(central, 0.99)
			return {
				scenario: scenario.name,
				way: name,
				requests: requests.length,
				p50Wait: round(getQuantile(result.waits, 0.5)),
				p99Wait: round(p99Wait),
				centralP99Wait: round(centralP99Wait),
				p99Ratio: round(p99Wait / centralP99Wait),
				refusedPercent: round((100 * result.refused) / result.attempts),
				notRunPercent: round((100 * result.lost) / requests.length),
				spilledPercent: round((100 * result.spilled) / result.attempts),
				failingPercent: round(100 * result.failingShare),
				bytesPerSecond: Math.round(result.bytesPerSecond),
			}
		})
	})
}

function getQuantile(values: readonly number[], quantile: number): number {
	const sorted = [...values].sort((left, right) => left - right)
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0
}

function round(value: number): number {
	return Math.round(value * 100) / 100
}
