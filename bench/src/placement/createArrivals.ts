import { createRandom } from '../createRandom.js'
import type { PlacementScenario } from './PlacementScenario.js'
import type { SimulatedRequest } from './SimulatedRequest.js'

/** Time from one peak to the next, in milliseconds. */
const PEAK_INTERVAL = 20_000

/** Rate between peaks divided by the mean rate. */
const TROUGH_FACTOR = 1 / 20

/**
 * Draws the arrivals of a scenario in time order: a Poisson process with exponential run times.
 *
 * @param slots - total slots of the working backend servers
 *
 * @internal
 */
export function createArrivals(
	scenario: PlacementScenario,
	slots: number,
	seed: number
): SimulatedRequest[] {
	const random = createRandom(seed)
	const drawExponential = (mean: number) => -mean * Math.log(1 - random())
	const meanRate = (scenario.load * slots) / scenario.meanServiceTime
	const maximumRate = meanRate * scenario.peakFactor
	const requests: SimulatedRequest[] = []
	for (let at = drawExponential(1 / maximumRate); at < scenario.duration;) {
		const rate = meanRate * getRateFactor(scenario, at)
		if (random() * maximumRate < rate) {
			const entry = pickEntry(scenario.weights, random())
			requests.push({ at, entry, serviceTime: drawExponential(scenario.meanServiceTime) })
		}
		at += drawExponential(1 / maximumRate)
	}
	return requests
}

/** Peaks last just long enough that the factor averages 1 over a peak interval. */
function getRateFactor(scenario: PlacementScenario, at: number): number {
	if (scenario.peakFactor === 1) return 1
	const peakFraction = (1 - TROUGH_FACTOR) / (scenario.peakFactor - TROUGH_FACTOR)
	return at % PEAK_INTERVAL < peakFraction * PEAK_INTERVAL ? scenario.peakFactor : TROUGH_FACTOR
}

function pickEntry(weights: readonly number[], uniform: number): number {
	const total = weights.reduce((sum, weight) => sum + weight, 0)
	let remaining = uniform * total
	for (const [index, weight] of weights.entries()) {
		remaining -= weight
		if (remaining < 0) return index
	}
	return weights.length - 1
}
