import { EvenSplitPolicy, LendingPolicy, type AllowancePolicy } from '@mastichead/core'
import { SimulatedFleet } from './allowances/SimulatedFleet.js'

const SEED = 7
const MEMBERS = 8
const SETTLE = 3000
const SAMPLE = 50
/** Longest run where hours are simulated, in milliseconds. */
const LONG_RUN = 5000
const PLENTY = 1_000_000

/**
 * A row of the table. Parts are fractions of the upper limit, spans are in seconds.
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

interface Case {
	readonly policy: string
	readonly limit: number
	readonly createPolicy: () => AllowancePolicy
}

const policies = [
	{ policy: 'even split', createPolicy: () => new EvenSplitPolicy() },
	{ policy: 'loans', createPolicy: () => new LendingPolicy() },
]

/**
 * Measures what the upper limits leave usable under skew, cuts and crashes, for every policy.
 * The upper limit is asserted on each start.
 *
 * @public
 */
export function allowanceBench(): Row[] {
	const rows: Row[] = []
	for (const { policy, createPolicy } of policies) {
		for (const limit of [1, 3, 8, 40, 1000]) {
			const run = { policy, limit, createPolicy }
			rows.push(...measureSkew(run), ...measureTurns(run))
		}
		for (const limit of [8, 40]) {
			const run = { policy, limit, createPolicy }
			rows.push(...measureMovingDemand(run), ...measureCut(run), ...measureCrash(run))
		}
	}
	return rows
}

function createFleet({ limit, createPolicy }: Case, runMilliseconds = 400): SimulatedFleet {
	const fleet = new SimulatedFleet({
		members: MEMBERS,
		limit,
		runMilliseconds,
		seed: SEED,
		createPolicy,
	})
	fleet.advance(SETTLE)
	return fleet
}

function createRow(run: Case, scenario: string) {
	return (measure: string, value: number): Row => ({
		scenario,
		policy: run.policy,
		limit: run.limit,
		measure,
		value: Math.round(value * 1000) / 1000,
	})
}

/** Mean of what runs over a span, as a part of the limit. */
function measureUse(fleet: SimulatedFleet, limit: number, duration: number): number {
	let sum = 0
	for (let at = 0; at < duration; at += SAMPLE) {
		fleet.advance(SAMPLE)
		sum += fleet.running
	}
	return (sum * SAMPLE) / duration / limit
}

function measureSkew(run: Case): Row[] {
	const fleet = createFleet(run)
	const row = createRow(run, 'all demand at one daemon')
	const [first] = fleet.members
	if (first) first.queued = PLENTY
	const early = measureUse(fleet, run.limit, 2000)
	fleet.counts.loanCalls = 0
	fleet.counts.appends = 0
	const late = measureUse(fleet, run.limit, 20_000)
	return [
		row('used in the first 2 s', early),
		row('used from 2 s on', late),
		row('log appends a second', fleet.counts.appends / 20),
		row('loan calls a second', fleet.counts.loanCalls / 20),
	]
}

function measureTurns(run: Case): Row[] {
	const fleet = createFleet(run)
	const row = createRow(run, 'full demand at every daemon')
	for (const member of fleet.members) member.queued = PLENTY
	const use = measureUse(fleet, run.limit, 60_000)
	const served = fleet.members.map((member) => member.served)
	const mean = served.reduce((sum, count) => sum + count, 0) / served.length
	return [
		row('used', use),
		row('least served against the mean', Math.min(...served) / mean),
		row('most served against the mean', Math.max(...served) / mean),
	]
}

/** Demand of the whole limit that stays 3 s at one daemon and moves on to the next. */
function measureMovingDemand(run: Case): Row[] {
	const fleet = createFleet(run)
	const row = createRow(run, 'demand moves every 3 s')
	let use = 0
	const moves = 24
	fleet.counts.appends = 0
	for (let index = 0; index < moves; index++) {
		for (const [at, member] of fleet.members.entries()) {
			member.queued = at === index % MEMBERS ? PLENTY : 0
		}
		use += measureUse(fleet, run.limit, 3000) / moves
	}
	return [row('used', use), row('log appends a second', fleet.counts.appends / (3 * moves))]
}

/** One zone of three is cut from the others and from the log while demand is everywhere. */
function measureCut(run: Case): Row[] {
	const fleet = createFleet(run, LONG_RUN)
	const row = createRow(run, 'a zone is cut off for over an hour')
	for (const member of fleet.members) member.queued = PLENTY
	fleet.advance(5000)
	fleet.cutZone = 0
	const rows: Row[] = []
	let now = 0
	for (const at of [2, 60, 150, 200, 3500, 3700]) {
		fleet.advance((at - now) * 1000 - 1000)
		now = at
		let cut = 0
		let rest = 0
		for (let sample = 0; sample < 20; sample++) {
			fleet.advance(SAMPLE)
			cut += fleet.getRunning(0) / 20 / run.limit
			rest += (fleet.running - fleet.getRunning(0)) / 20 / run.limit
		}
		rows.push(row(`used in the cut zone after ${at} s`, cut))
		rows.push(row(`used by the others after ${at} s`, rest))
	}
	return rows
}

/** One daemon of eight crashes while demand is everywhere. */
function measureCrash(run: Case): Row[] {
	const fleet = createFleet(run, LONG_RUN)
	const row = createRow(run, 'a daemon crashes')
	for (const member of fleet.members) member.queued = PLENTY
	fleet.advance(5000)
	const [first] = fleet.members
	if (first) first.isAlive = false
	fleet.advance(2000)
	const rows: Row[] = []
	for (const at of [4, 30, 120, 160, 3500, 3800]) {
		const ahead = at * 1000 - (fleet.timers.now() - SETTLE - 5000)
		fleet.advance(Math.max(0, ahead))
		rows.push(row(`used by the others after ${at} s`, measureUse(fleet, run.limit, 1000)))
	}
	return rows
}
