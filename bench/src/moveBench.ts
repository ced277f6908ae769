import {
	FixedMovePolicy,
	ForecastMovePolicy,
	GreedyMovePolicy,
	type Milliseconds,
	type MovePolicy,
} from '@mastichead/core'
import { createQueueArrivals } from './moves/createQueueArrivals.js'
import type { MoveScenario } from './moves/MoveScenario.js'
import type { QueueDemand } from './moves/QueueDemand.js'
import { runMoves } from './moves/runMoves.js'
import type { SimulatedArrival } from './moves/SimulatedArrival.js'

const MINUTE: Milliseconds = 60_000
const SLOTS_PER_SERVER = 8
/** Highest rate of a queue divided by its mean rate, and the highest drift of that mean. */
const PEAK_FACTOR = 5
const MAXIMUM_DRIFT_FACTOR = 1.3
/** Spare backend servers per pool, for a failure or maintenance during a peak. */
const RESERVE_SERVERS = 1

/** Mean demand of a queue in slots. Its peak exceeds 7 backend servers, the size of the current pools. */
const MEAN_SLOTS = 14

function createQueueGroup(
	name: string,
	queues: readonly (readonly [meanRunTime: number, timeout: number])[]
): readonly QueueDemand[] {
	return queues.map(([meanRunTime, timeout], index) => ({
		queue: `${name}-${index}`,
		meanSlots: MEAN_SLOTS,
		meanRunTime,
		timeout,
		spare: index === queues.length - 1,
	}))
}

/** Mean run time and timeout of each queue of a group, in milliseconds. */
const padaniaQueues = [
	[1500, 4300],
	[800, 4300],
	[2500, 10_000],
	[2000, 10_000],
	[3000, 30_000],
] as const

const bretagneQueues = [
	[1000, 4300],
	[1500, 8000],
	[2000, 8000],
	[1000, 15_000],
	[2500, 30_000],
] as const

function createQueueGroups(
	name: string,
	queues: typeof padaniaQueues | typeof bretagneQueues,
	count: number
) {
	return Array.from({ length: count }, (_, index) => createQueueGroup(`${name}${index}`, queues))
}

const padaniaSettings = { weights: { shares: 2, moves: 2, buffer: 1 }, warmUp: 10 * MINUTE }
const bretagneSettings = { weights: { shares: 1, moves: 1, buffer: 2 }, warmUp: 10 * MINUTE }

const scenarios: readonly MoveScenario[] = [
	{
		...padaniaSettings,
		name: 'padania',
		groups: createQueueGroups('p', padaniaQueues, 1),
		duration: 70 * MINUTE,
	},
	{
		...bretagneSettings,
		name: 'bretagne',
		groups: createQueueGroups('b', bretagneQueues, 1),
		duration: 70 * MINUTE,
	},
	{
		...padaniaSettings,
		name: 'padania x10',
		groups: createQueueGroups('p', padaniaQueues, 10),
		duration: 30 * MINUTE,
	},
	{
		...bretagneSettings,
		name: 'bretagne x10',
		groups: createQueueGroups('b', bretagneQueues, 10),
		duration: 30 * MINUTE,
	},
]

interface Row {
	readonly scenario: string
	readonly policy: string
	/** Number of backend servers in the fleet. */
	readonly servers: number
	readonly latePercent: number
	readonly movesPerHour: number
	/** Mean number of backend servers beyond those that running requests kept busy. */
	readonly spareInstances: number
	/** `spareInstances` divided by that of the fixed pools. */
	readonly spareOfFixed: number
	readonly brokenBudgets: number
}

/**
 * Compares the move policies. The fixed pools are sized for their highest peak. The other runs use
 * the smallest fleet with which the forecast policy has no more late requests than the fixed pools.
 *
 * @public
 */
export function moveBench({ seed }: { readonly seed: number }): Row[] {
	return scenarios.flatMap((scenario) => {
		const arrivals = drawArrivals(scenario, seed)
		const runPolicy = (policy: MovePolicy, sizes: ReadonlyMap<string, number>) =>
			runMoves({ scenario, policy, sizes, arrivals, seed })
		const peakSizes = getPeakSizes(scenario)
		const fixed = runPolicy(new FixedMovePolicy(), peakSizes)
		const createForecast = () => new ForecastMovePolicy({ weights: scenario.weights })
		const isEnough = (sizes: ReadonlyMap<string, number>) =>
			runPolicy(createForecast(), sizes).latePercent <= fixed.latePercent
		const sizes = findSmallestFleet(scenario, countServers(peakSizes), isEnough)
		const runs = [
			['fixed at peak', peakSizes, fixed],
			['fixed, same fleet', sizes, runPolicy(new FixedMovePolicy(), sizes)],
			['greedy, same fleet', sizes, runPolicy(new GreedyMovePolicy(), sizes)],
			['forecast', sizes, runPolicy(createForecast(), sizes)],
		] as const
		return runs.map(([policy, usedSizes, result]) => ({
			scenario: scenario.name,
			policy,
			servers: countServers(usedSizes),
			latePercent: round(result.latePercent),
			movesPerHour: round(result.movesPerHour),
			spareInstances: round(result.spareInstances),
			spareOfFixed: round(result.spareInstances / fixed.spareInstances),
			brokenBudgets: result.brokenBudgets,
		}))
	})
}

function drawArrivals(
	scenario: MoveScenario,
	seed: number
): ReadonlyMap<string, readonly SimulatedArrival[]> {
	const arrivalsByQueue = new Map<string, readonly SimulatedArrival[]>()
	scenario.groups.forEach((group, index) => {
		const drawn = createQueueArrivals(group, scenario.duration, seed + index)
		for (const [queue, arrivals] of drawn) arrivalsByQueue.set(queue, arrivals)
	})
	return arrivalsByQueue
}

function getPeakSizes(scenario: MoveScenario): ReadonlyMap<string, number> {
	const size = (slots: number): number =>
		Math.ceil((PEAK_FACTOR * MAXIMUM_DRIFT_FACTOR * slots) / SLOTS_PER_SERVER) + RESERVE_SERVERS
	return new Map(scenario.groups.flat().map(({ queue, meanSlots }) => [queue, size(meanSlots)]))
}

/** Finds the smallest sufficient fleet by bisection over the backend servers per group. */
function findSmallestFleet(
	scenario: MoveScenario,
	highest: number,
	isEnough: (sizes: ReadonlyMap<string, number>) => boolean
): ReadonlyMap<string, number> {
	const groups = scenario.groups.length
	let low = 0
	let high = Math.ceil(highest / groups)
	while (high - low > 1) {
		const middle = Math.floor((low + high) / 2)
		if (isEnough(distributeServers(scenario, middle))) high = middle
		else low = middle
	}
	return distributeServers(scenario, high)
}

/** Splits the backend servers of each group evenly, with the remainder in its spare pool. */
function distributeServers(scenario: MoveScenario, perGroup: number): ReadonlyMap<string, number> {
	const sizes = new Map<string, number>()
	for (const group of scenario.groups) {
		const serversPerPool = Math.floor(perGroup / group.length)
		for (const { queue, spare } of group) {
			sizes.set(queue, spare ? perGroup - serversPerPool * (group.length - 1) : serversPerPool)
		}
	}
	return sizes
}

function countServers(sizes: ReadonlyMap<string, number>): number {
	return [...sizes.values()].reduce((sum, size) => sum + size, 0)
}

function round(value: number): number {
	return Math.round(value * 100) / 100
}
