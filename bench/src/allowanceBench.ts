import { EvenSplitPolicy, LendingPolicy, type AllowancePolicy } from '@mastichead/core'
import { SimulatedFleet } from './allowances/SimulatedFleet.js'

const SEED = 7
const MEMBERS = 8
const SETTLE_MILLISECONDS = 3000
const SAMPLE_MILLISECONDS = 50
/** Longest run time of a request in scenarios that simulate hours. */
const LONG_RUN_MILLISECONDS = 5000
/** Waiting requests that keep a daemon saturated for a whole scenario. */
const SATURATING_QUEUE = 1_000_000

/**
 * Row of the table. A used value is a fraction of the team's limit, a served value is a fraction of
 * the mean over the daemons, and appends and calls are rates per second.
 *
 * @internal
 */
interface Row {
	readonly scenario: string
	readonly policy: string
	readonly limit: number
	readonly measure: string
	readonly value: number
}

interface BenchCase {
	readonly policy: string
	readonly limit: number
	readonly createPolicy: () => AllowancePolicy
}

const policies = [
	{ policy: 'even split', createPolicy: () => new EvenSplitPolicy() },
	{ policy: 'loans', createPolicy: () => new LendingPolicy() },
]

/**
 * Measures, for each allowance policy, which part of a team's limit stays usable under skewed
 * demand, a zone partition and a daemon crash. Each start asserts that the limit holds.
 *
 * @public
 */
export function allowanceBench(): Row[] {
	const rows: Row[] = []
	for (const { policy, createPolicy } of policies) {
		for (const limit of [1, 3, 8, 40, 1000]) {
			const benchCase = { policy, limit, createPolicy }
			rows.push(...measureSkew(benchCase), ...measureFairness(benchCase))
		}
		for (const limit of [8, 40]) {
			const benchCase = { policy, limit, createPolicy }
			rows.push(
				...measureMovingDemand(benchCase),
				...measureZonePartition(benchCase),
				...measureCrash(benchCase)
			)
		}
	}
	return rows
}

function createFleet({ limit, createPolicy }: BenchCase, runMilliseconds = 400): SimulatedFleet {
	const fleet = new SimulatedFleet({
		members: MEMBERS,
		limit,
		runMilliseconds,
		seed: SEED,
		createPolicy,
	})
	fleet.advance(SETTLE_MILLISECONDS)
	return fleet
}

function createRowFactory(benchCase: BenchCase, scenario: string) {
	return (measure: string, value: number): Row => ({
		scenario,
		policy: benchCase.policy,
		limit: benchCase.limit,
		measure,
		value: Math.round(value * 1000) / 1000,
	})
}

/** Returns the mean of running requests over `duration` milliseconds, as a fraction of the limit. */
function measureUtilization(fleet: SimulatedFleet, limit: number, duration: number): number {
	let sum = 0
	for (let at = 0; at < duration; at += SAMPLE_MILLISECONDS) {
		fleet.advance(SAMPLE_MILLISECONDS)
		sum += fleet.running
	}
	return (sum * SAMPLE_MILLISECONDS) / duration / limit
}

function measureSkew(benchCase: BenchCase): Row[] {
	const fleet = createFleet(benchCase)
	const createRow = createRowFactory(benchCase, 'all demand at one daemon')
	const [first] = fleet.members
	if (first) first.queued = SATURATING_QUEUE
	const early = measureUtilization(fleet, benchCase.limit, 2000)
	fleet.counts.loanCalls = 0
	fleet.counts.appends = 0
	const late = measureUtilization(fleet, benchCase.limit, 20_000)
	return [
		createRow('used in the first 2 s', early),
		createRow('used from 2 s on', late),
		createRow('log appends a second', fleet.counts.appends / 20),
		createRow('loan calls a second', fleet.counts.loanCalls / 20),
	]
}

function measureFairness(benchCase: BenchCase): Row[] {
	const fleet = createFleet(benchCase)
	const createRow = createRowFactory(benchCase, 'full demand at every daemon')
	for (const member of fleet.members) member.queued = SATURATING_QUEUE
	const utilization = measureUtilization(fleet, benchCase.limit, 60_000)
	const servedCounts = fleet.members.map((member) => member.servedCount)
	const mean = servedCounts.reduce((sum, count) => sum + count, 0) / servedCounts.length
	return [
		createRow('used', utilization),
		createRow('least served against the mean', Math.min(...servedCounts) / mean),
		createRow('most served against the mean', Math.max(...servedCounts) / mean),
	]
}

/** Saturates one daemon after the other, each for 3 s. */
function measureMovingDemand(benchCase: BenchCase): Row[] {
	const fleet = createFleet(benchCase)
	const createRow = createRowFactory(benchCase, 'demand moves every 3 s')
	let utilization = 0
	const moveCount = 24
	fleet.counts.appends = 0
	for (let index = 0; index < moveCount; index++) {
		for (const [memberIndex, member] of fleet.members.entries()) {
			member.queued = memberIndex === index % MEMBERS ? SATURATING_QUEUE : 0
		}
		utilization += measureUtilization(fleet, benchCase.limit, 3000) / moveCount
	}
	return [
		createRow('used', utilization),
		createRow('log appends a second', fleet.counts.appends / (3 * moveCount)),
	]
}

/** Partitions one zone of three from the others and from the log while every daemon is saturated. */
function measureZonePartition(benchCase: BenchCase): Row[] {
	const fleet = createFleet(benchCase, LONG_RUN_MILLISECONDS)
	const createRow = createRowFactory(benchCase, 'a zone is cut off for over an hour')
	for (const member of fleet.members) member.queued = SATURATING_QUEUE
	fleet.advance(5000)
	fleet.partitionedZone = 0
	const rows: Row[] = []
	let previousSeconds = 0
	for (const seconds of [2, 60, 150, 200, 3500, 3700]) {
		fleet.advance((seconds - previousSeconds) * 1000 - 1000)
		previousSeconds = seconds
		let partitionedUse = 0
		let othersUse = 0
		for (let sample = 0; sample < 20; sample++) {
			fleet.advance(SAMPLE_MILLISECONDS)
			partitionedUse += fleet.countRunning(0) / 20 / benchCase.limit
			othersUse += (fleet.running - fleet.countRunning(0)) / 20 / benchCase.limit
		}
		rows.push(createRow(`used in the cut zone after ${seconds} s`, partitionedUse))
		rows.push(createRow(`used by the others after ${seconds} s`, othersUse))
	}
	return rows
}

/** Crashes one daemon of eight while every daemon is saturated. */
function measureCrash(benchCase: BenchCase): Row[] {
	const fleet = createFleet(benchCase, LONG_RUN_MILLISECONDS)
	const createRow = createRowFactory(benchCase, 'a daemon crashes')
	for (const member of fleet.members) member.queued = SATURATING_QUEUE
	fleet.advance(5000)
	const [first] = fleet.members
	if (first) first.isAlive = false
	fleet.advance(2000)
	const rows: Row[] = []
	for (const seconds of [4, 30, 120, 160, 3500, 3800]) {
		const remaining = seconds * 1000 - (fleet.timers.now() - SETTLE_MILLISECONDS - 5000)
		fleet.advance(Math.max(0, remaining))
		rows.push(
			createRow(
				`used by the others after ${seconds} s`,
				measureUtilization(fleet, benchCase.limit, 1000)
			)
		)
	}
	return rows
}
