import {
	MaintenanceMonitor,
	type MaintenanceProgress,
	type Milliseconds,
	MovePlanner,
	type MovePolicy,
	type Pool,
} from '@mastichead/core'
import { createRandom } from '../createRandom.js'
import { createSimulatedLog } from '../createSimulatedLog.js'
import type { SimulatedLog } from '../SimulatedLog.js'
import type { MoveScenario } from './MoveScenario.js'
import type { SimulatedArrival } from './SimulatedArrival.js'
import { SimulatedPool } from './SimulatedPool.js'

const TICK: Milliseconds = 100
const PLAN_INTERVAL_TICKS = 5
const HEARTBEAT_INTERVAL_TICKS = 300
const SLOTS_PER_SERVER = 8
const ZONES = ['a', 'b', 'c']
const SERVERS_PER_RACK = 4
/** Time until a backend server passes its health checks after it changed pools. */
const READY_DELAY: Milliseconds = 5000
/** Mean time between failures in a hundred backend servers, and the duration of a failure. */
const FAILURE_INTERVAL_PER_HUNDRED: Milliseconds = 300_000
const FAILURE_DURATION: Milliseconds = 60_000
const MILLISECONDS_PER_HOUR = 3_600_000

interface Run {
	readonly pool: SimulatedPool
	readonly arrival: SimulatedArrival
	readonly endsAt: Milliseconds
}

interface Options {
	readonly scenario: MoveScenario
	readonly policy: MovePolicy
	/** Number of backend servers that each pool starts with. */
	readonly sizes: ReadonlyMap<string, number>
	readonly arrivals: ReadonlyMap<string, readonly SimulatedArrival[]>
	readonly seed: number
}

interface Result {
	readonly latePercent: number
	readonly movesPerHour: number
	/** Mean number of backend servers beyond those that running requests kept busy. */
	readonly spareInstances: number
	readonly requests: number
	/** Accepted drains after which the availability budget of the pool did not hold. */
	readonly brokenBudgets: number
}

/**
 * Simulates one move policy on drawn arrivals with the real fold, availability ledger and planner.
 *
 * @internal
 */
export function runMoves(options: Options): Result {
	const simulation = new MoveSimulation(options)
	const { scenario } = options
	for (let now = TICK; now <= scenario.duration; now += TICK) simulation.advance(now)
	return simulation.getResult()
}

class MoveSimulation extends MaintenanceMonitor {
	private readonly log: SimulatedLog
	private readonly pools = new Map<string, SimulatedPool>()
	private readonly runs = new Map<string, Run[]>()
	private readonly failedUntil = new Map<string, Milliseconds>()
	private readonly planner: MovePlanner
	private readonly random: () => number
	private readonly serverNames: readonly string[]
	private now = 0
	private moveCount = 0
	private busySlotTime = 0
	private brokenBudgets = 0

	constructor(private readonly options: Options) {
		super()
		const { scenario, policy, sizes, arrivals, seed } = options
		const queues = scenario.groups.flat()
		const total = [...sizes.values()].reduce((sum, size) => sum + size, 0)
		const pools = queues.map(({ queue, spare }): Pool => {
			const maximumUnavailable = Math.max(2, Math.ceil(total * 0.3))
			return { name: queue, spare, minimumAvailable: 1, maximumUnavailable }
		})
		const servers = queues.flatMap(({ queue }) =>
			Array.from({ length: sizes.get(queue) ?? 0 }, (_, index) => createServer(queue, index))
		)
		this.log = createSimulatedLog(pools, servers)
		this.serverNames = servers.map(({ name }) => name)
		for (const queue of queues) {
			this.pools.set(queue.queue, new SimulatedPool(queue, arrivals.get(queue.queue) ?? []))
		}
		this.planner = new MovePlanner(policy, {
			maximumConcurrentMoves: Math.max(8, Math.ceil(total / 8)),
		})
		this.random = createRandom(seed + 1)
	}

	advance(now: Milliseconds): void {
		this.now = now
		const tick = Math.round(now / TICK)
		const isMeasured = now > this.options.scenario.warmUp
		if (tick % HEARTBEAT_INTERVAL_TICKS === 0) this.log.appendHeartbeats(now)
		this.updateFailures()
		this.finishRuns()
		for (const pool of this.pools.values()) pool.advance(now, isMeasured)
		this.startRuns(isMeasured)
		if (isMeasured) for (const runs of this.runs.values()) this.busySlotTime += runs.length * TICK
		if (tick % PLAN_INTERVAL_TICKS === 0) this.plan(isMeasured)
	}

	getResult(): Result {
		const { duration, warmUp } = this.options.scenario
		const measuredTime = duration - warmUp
		let lateCount = 0
		let startedCount = 0
		for (const pool of this.pools.values()) {
			lateCount += pool.lateCount
			startedCount += pool.startedCount
		}
		return {
			latePercent: (100 * lateCount) / (lateCount + startedCount),
			movesPerHour: (this.moveCount * MILLISECONDS_PER_HOUR) / measuredTime,
			spareInstances: this.serverNames.length - this.busySlotTime / SLOTS_PER_SERVER / measuredTime,
			requests: lateCount + startedCount,
			brokenBudgets: this.brokenBudgets,
		}
	}

	override isDrained(server: string): boolean {
		return this.countRunning(server) === 0
	}

	override isReady(server: string): boolean {
		const since = this.log.state.placements.get(server)?.since?.at ?? 0
		return this.now - since >= READY_DELAY && !this.failedUntil.has(server)
	}

	override countRunning(server: string): number {
		return this.runs.get(server)?.length ?? 0
	}

	override getProgress(): MaintenanceProgress {
		return 'unknown'
	}

	private updateFailures(): void {
		for (const [server, until] of this.failedUntil) {
			if (until > this.now) continue
			this.failedUntil.delete(server)
			this.log.reportHealth(server, false, this.now)
		}
		const chance = (TICK * this.serverNames.length) / 100 / FAILURE_INTERVAL_PER_HUNDRED
		if (this.random() >= chance) return
		const server = this.serverNames[Math.floor(this.random() * this.serverNames.length)] ?? ''
		if (this.failedUntil.has(server)) return
		this.failedUntil.set(server, this.now + FAILURE_DURATION)
		for (const { pool, arrival } of this.runs.get(server) ?? []) pool.finishRun(arrival.runTime)
		this.runs.delete(server)
		this.log.reportHealth(server, true, this.now)
	}

	private finishRuns(): void {
		for (const [server, runs] of this.runs) {
			const unfinished = runs.filter(({ pool, arrival, endsAt }) => {
				if (endsAt > this.now) return true
				pool.finishRun(arrival.runTime)
				return false
			})
			this.runs.set(server, unfinished)
		}
	}

	private startRuns(isMeasured: boolean): void {
		for (const [server, { pool: name, activity, health }] of this.log.state.placements) {
			const pool = this.pools.get(name)
			if (!pool || activity.type !== 'serving' || health === 'failed') continue
			const runs = this.runs.get(server) ?? []
			this.runs.set(server, runs)
			while (runs.length < SLOTS_PER_SERVER) {
				const arrival = pool.startNext(isMeasured)
				if (!arrival) break
				runs.push({ pool, arrival, endsAt: this.now + arrival.runTime })
			}
		}
	}

	private plan(isMeasured: boolean): void {
		const demands = new Map([...this.pools].map(([name, pool]) => [name, pool.getDemand()]))
		for (const step of this.planner.plan(this.log.state, this, demands, this.now)) {
			const id = this.log.createId()
			const proposal = { kind: 'move' as const, id, ...step, proposer: 'bench' }
			const isAccepted = this.log.append(proposal, this.now)
			if (isAccepted && step.step === 'reassign' && isMeasured) this.moveCount += 1
			if (isAccepted && step.step === 'drain' && !this.isWithinBudget(step.from))
				this.brokenBudgets += 1
		}
	}

	private isWithinBudget(pool: string): boolean {
		const placements = [...this.log.state.placements.values()]
		const inPool = placements.filter((placement) => placement.pool === pool)
		const unavailable = inPool.filter(
			({ activity, health }) => activity.type !== 'serving' || health === 'failed'
		)
		const budget = this.log.state.pools.get(pool)
		if (!budget) return false
		const available = inPool.length - unavailable.length
		return available >= budget.minimumAvailable && unavailable.length <= budget.maximumUnavailable
	}
}

function createServer(pool: string, index: number) {
	const availabilityZone = ZONES[index % ZONES.length] ?? ''
	const rack = `${availabilityZone}-${Math.floor(index / ZONES.length / SERVERS_PER_RACK)}`
	const name = `${pool}-${index}`
	return {
		name,
		availabilityZone,
		rack,
		address: '',
		pool,
		slots: SLOTS_PER_SERVER,
		connections: 64,
	}
}
