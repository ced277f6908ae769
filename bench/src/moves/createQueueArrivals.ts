import type { Milliseconds } from '@mastichead/core'
import { createRandom } from '../createRandom.js'
import type { QueueDemand } from './QueueDemand.js'
import type { SimulatedArrival } from './SimulatedArrival.js'

/** Rate during and between peaks, divided by the mean rate. */
const PEAK_FACTOR = 5
const TROUGH_FACTOR = 1 / 20
const MINIMUM_PEAK_DURATION: Milliseconds = 3000
const PEAK_DURATION_RANGE: Milliseconds = 5000
/** Fraction of requests that no backend server can run. */
const UNRUNNABLE_FRACTION = 0.01
/** Mean time between bursts of cancellations in a queue, and the fraction of recent requests hit. */
const CANCELLATION_INTERVAL: Milliseconds = 120_000
const CANCELLED_FRACTION = 0.6
/** Time between changes of the mean rates, and the largest relative change. */
const DRIFT_INTERVAL: Milliseconds = 900_000
const MAXIMUM_DRIFT = 0.3

/**
 * Draws the arrivals of a group of queues that peak in turn. One queue at a time receives five times
 * its mean rate for some seconds, all others a twentieth. The mean rates change every 15 minutes.
 * Declared run times are up to five times too long or too short, some requests can never run, and
 * callers cancel waiting requests in bursts.
 *
 * @param queues - the queues of the group, in the order in which they peak
 * @param duration - virtual time to cover
 * @returns arrivals by queue, in time order
 *
 * @public
 */
export function createQueueArrivals(
	queues: readonly QueueDemand[],
	duration: Milliseconds,
	seed: number
): ReadonlyMap<string, readonly SimulatedArrival[]> {
	const random = createRandom(seed)
	const arrivals = new Map(queues.map(({ queue }) => [queue, [] as SimulatedArrival[]]))
	let driftFactors: readonly number[] = []
	let driftedAt = -Infinity
	let turn = 0
	for (let at = 0; at < duration; turn += 1) {
		if (at - driftedAt >= DRIFT_INTERVAL) {
			driftFactors = queues.map(() => 1 + MAXIMUM_DRIFT * (2 * random() - 1))
			driftedAt = at
		}
		const end = at + MINIMUM_PEAK_DURATION + random() * PEAK_DURATION_RANGE
		queues.forEach((queue, index) => {
			const factor = index === turn % queues.length ? PEAK_FACTOR : TROUGH_FACTOR
			const rate = (queue.meanSlots / queue.meanRunTime) * factor * (driftFactors[index] ?? 1)
			const drawn = drawArrivals(queue, { from: at, to: end, rate }, random)
			arrivals.get(queue.queue)?.push(...drawn)
		})
		at = end
	}
	for (const list of arrivals.values()) cancelInBursts(list, duration, random)
	return arrivals
}

function drawArrivals(
	queue: QueueDemand,
	{ from, to, rate }: { from: Milliseconds; to: Milliseconds; rate: number },
	random: () => number
): SimulatedArrival[] {
	const arrivals: SimulatedArrival[] = []
	for (let at = from + drawExponential(1 / rate, random); at < to;) {
		const runTime = Math.min(6 * queue.meanRunTime, drawExponential(queue.meanRunTime, random))
		const declaredRunTime = runTime * 5 ** (2 * random() - 1)
		arrivals.push({
			at,
			runTime,
			declaredRunTime,
			isRunnable: random() >= UNRUNNABLE_FRACTION,
			cancelledAt: Infinity,
		})
		at += drawExponential(1 / rate, random)
	}
	return arrivals
}

/** Gives some of the arrivals shortly before each burst the cancellation time of that burst. */
function cancelInBursts(
	arrivals: SimulatedArrival[],
	duration: Milliseconds,
	random: () => number
): void {
	let index = 0
	for (let at = 0; at < duration;) {
		at += drawExponential(CANCELLATION_INTERVAL, random)
		for (; index < arrivals.length && (arrivals[index]?.at ?? Infinity) < at; index += 1) {
			const arrival = arrivals[index]
			const isRecent = arrival !== undefined && at - arrival.at < MINIMUM_PEAK_DURATION
			if (isRecent && random() < CANCELLED_FRACTION)
				arrivals[index] = { ...arrival, cancelledAt: at }
		}
	}
}

function drawExponential(mean: number, random: () => number): number {
	return -mean * Math.log(1 - random())
}
