import { createRandom } from '../createRandom.js'
import type { PlacementScenario } from './PlacementScenario.js'
import type { SimulatedRequest } from './SimulatedRequest.js'

/** Time from one peak to the next, in milliseconds. */
const CYCLE = 20_000

/** Rate between peaks over the mean rate. */
const TROUGH = 1 / 20

/**
 * Draws the arrivals of a scenario: Poisson, with exponential run times, in the order of time.
 *
 * @param slots - slots of all backend servers that work
 *
 * @internal
 */
export function createDemand(
	scenario: PlacementScenario,
	slots: number,
	seed: number
): SimulatedRequest[] {
	const random = createRandom(seed)
	const exponential = (mean: number) => -mean * Math.log(1 - random())
	const meanRate = (scenario.load * slots) / scenario.meanService
	const maximumRate = meanRate * scenario.peak
	const requests: SimulatedRequest[] = []
	for (let at = exponential(1 / maximumRate); at < scenario.duration;) {
		const rate = meanRate * getFactor(scenario, at)
		if (random() * maximumRate < rate) {
			const entry = pickEntry(scenario.weights, random())
			requests.push({ at, entry, service: exponential(scenario.meanService) })
		}
		at += exponential(1 / maximumRate)
	}
	return requests
}

/** Peaks last for as long as makes the mean of a cycle 1. */
function getFactor(scenario: PlacementScenario, at: number): number {
	if (scenario.peak === 1) return 1
	const peakPart = (1 - TROUGH) / (scenario.peak - TROUGH)
	return at % CYCLE < peakPart * CYCLE ? scenario.peak : TROUGH
}

function pickEntry(weights: readonly number[], draw: number): number {
	const total = weights.reduce((sum, weight) => sum + weight, 0)
	let left = draw * total
	for (const [index, weight] of weights.entries()) {
		left -= weight
		if (left < 0) return index
	}
	return weights.length - 1
}
