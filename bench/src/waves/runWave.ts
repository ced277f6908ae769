import {
	assert,
	type BackendServer,
	MaintenanceMonitor,
	type MaintenanceProgress,
	type Milliseconds,
	type Pool,
	WavePlanner,
} from '@mastichead/core'
import { createRandom } from '../createRandom.js'
import { createSimulatedLog } from '../createSimulatedLog.js'
import type { SimulatedLog } from '../SimulatedLog.js'
import type { WaveScenario } from './WaveScenario.js'

const WAVE = 'wave'
const SERVERS_PER_RACK = 4
const HEARTBEAT_INTERVAL: Milliseconds = 100_000
/** Time until the other daemons take over from a killed one. */
const TAKEOVER_TIME: Milliseconds = 10_000
/** Time until a backend server passes its health checks. */
const HEALTH_CHECK_TIME: Milliseconds = 10_000
/** Largest relative deviation of drain and maintenance times from their means. */
const DURATION_SPREAD = 0.2
/** High enough that failures never pause the wave, because the bench measures its duration. */
const FAILURE_LIMIT = 1000
const MAXIMUM_DURATION: Milliseconds = 100 * 86_400_000

interface Result {
	readonly rolloutTime: Milliseconds
	readonly lowerBound: Milliseconds
	readonly appends: number
	readonly rejected: number
	readonly brokenBudgets: number
	readonly plannerMilliseconds: number
	readonly ticks: number
}

/**
 * Simulates a wave over the whole fleet in virtual time, with the real fold and planner.
 *
 * @internal
 */
export function runWave(scenario: WaveScenario, seed: number): Result {
	return new WaveSimulation(scenario, seed).run()
}

class WaveSimulation extends MaintenanceMonitor {
	private readonly log: SimulatedLog
	private readonly planner = new WavePlanner()
	private readonly servers: readonly BackendServer[]
	private readonly drainTimes = new Map<string, Milliseconds>()
	private readonly maintenanceTimes = new Map<string, Milliseconds>()
	private readonly failedServers = new Set<string>()
	private now = 0
	private brokenBudgets = 0
	private plannerMilliseconds = 0
	private ticks = 0

	constructor(
		private readonly scenario: WaveScenario,
		seed: number
	) {
		super()
		const random = createRandom(seed)
		this.servers = createServers(scenario)
		const pools = Array.from({ length: scenario.pools }, (_, index) => createPool(scenario, index))
		this.log = createSimulatedLog(pools, this.servers)
		const draw = (mean: Milliseconds): Milliseconds =>
			mean * (1 - DURATION_SPREAD + 2 * DURATION_SPREAD * random())
		for (const { name } of this.servers) {
			this.drainTimes.set(name, draw(scenario.drainTime))
			this.maintenanceTimes.set(name, draw(scenario.maintenanceTime))
		}
		const { parallelism } = scenario
		const backendServers = this.servers.map(({ name }) => name)
		const action = {
			type: 'create',
			backendServers,
			parallelism,
			failureLimit: FAILURE_LIMIT,
		} as const
		this.log.append({ kind: 'wave', id: 'create', wave: WAVE, action, operator: 'bench' }, 0)
	}

	run(): Result {
		let heartbeatAt = 0
		while (this.log.state.waves.get(WAVE)?.state !== 'done') {
			this.now += this.scenario.tickInterval
			assert(this.now < MAXIMUM_DURATION, 'the wave finishes within 100 days')
			if (this.isPlatformDown()) continue
			if (this.now - heartbeatAt >= HEARTBEAT_INTERVAL) {
				this.log.appendHeartbeats(this.now)
				heartbeatAt = this.now
			}
			this.updateRackFailure()
			if (!this.isProposerDown()) this.planSteps()
		}
		const { appended, accepted } = this.log
		return {
			rolloutTime: this.now,
			lowerBound: this.getLowerBound(),
			appends: appended,
			rejected: appended - accepted,
			brokenBudgets: this.brokenBudgets,
			plannerMilliseconds: this.plannerMilliseconds,
			ticks: this.ticks,
		}
	}

	override isDrained(server: string): boolean {
		return this.getActivityAge(server) >= (this.drainTimes.get(server) ?? 0)
	}

	override isReady(server: string): boolean {
		return (
			this.getActivityAge(server) >= (this.maintenanceTimes.get(server) ?? 0) + HEALTH_CHECK_TIME &&
			!this.failedServers.has(server)
		)
	}

	override countRunning(): number {
		return 0
	}

	override getProgress(_wave: string, server: string): MaintenanceProgress {
		return this.getActivityAge(server) >= (this.maintenanceTimes.get(server) ?? 0)
			? 'done'
			: 'running'
	}

	private getActivityAge(server: string): Milliseconds {
		return this.now - (this.log.state.placements.get(server)?.since?.at ?? this.now)
	}

	private isPlatformDown(): boolean {
		const { outageInterval, outageDuration = 0 } = this.scenario
		return outageInterval !== undefined && this.now % outageInterval < outageDuration
	}

	private isProposerDown(): boolean {
		const { killInterval } = this.scenario
		return killInterval !== undefined && this.now % killInterval < TAKEOVER_TIME
	}

	private updateRackFailure(): void {
		const { rackFailsAt = Infinity, rackFailureDuration = 0 } = this.scenario
		const isFailed = this.now >= rackFailsAt && this.now < rackFailsAt + rackFailureDuration
		if (isFailed === this.failedServers.size > 0) return
		const rack = this.servers[0]?.rack
		for (const { name } of this.servers.filter((server) => server.rack === rack)) {
			if (isFailed) this.failedServers.add(name)
			else this.failedServers.delete(name)
			this.log.reportHealth(name, isFailed, this.now)
		}
	}

	private planSteps(): void {
		const startedAt = performance.now()
		const { steps } = this.planner.plan(this.log.state, this)
		this.plannerMilliseconds += performance.now() - startedAt
		this.ticks += 1
		for (const step of steps) {
			const id = this.log.createId()
			const proposal = { kind: 'wave-step' as const, id, ...step, proposer: 'bench' }
			const isAccepted = this.log.append(proposal, this.now)
			if (isAccepted && step.step === 'drain') this.countBrokenBudget(step.backendServer)
		}
	}

	/** Checks the budget without `AvailabilityLedger`, which this bench tests. */
	private countBrokenBudget(server: string): void {
		const pool = this.log.state.placements.get(server)?.pool ?? ''
		let unavailable = 0
		for (const placement of this.log.state.placements.values()) {
			if (placement.pool !== pool) continue
			if (placement.activity.type !== 'serving' || placement.health === 'failed') unavailable += 1
		}
		if (unavailable > (this.log.state.pools.get(pool)?.maximumUnavailable ?? 0))
			this.brokenBudgets += 1
	}

	/**
	 * Returns a lower bound for any order of steps: the work of the fleet at full parallelism, or of a
	 * pool with all its allowed backend servers unavailable.
	 */
	private getLowerBound(): Milliseconds {
		const timeByPool = new Map<string, Milliseconds>()
		let totalTime = 0
		for (const { name, pool } of this.servers) {
			const serverTime =
				(this.drainTimes.get(name) ?? 0) +
				(this.maintenanceTimes.get(name) ?? 0) +
				HEALTH_CHECK_TIME
			timeByPool.set(pool, (timeByPool.get(pool) ?? 0) + serverTime)
			totalTime += serverTime
		}
		const { maximumUnavailable, parallelism } = this.scenario
		return Math.max(totalTime / parallelism, Math.max(...timeByPool.values()) / maximumUnavailable)
	}
}

function createPool(scenario: WaveScenario, index: number): Pool {
	const size = Math.floor(scenario.servers / scenario.pools)
	const { maximumUnavailable } = scenario
	const minimumAvailable = Math.max(1, size - maximumUnavailable)
	return { name: `pool-${index}`, spare: false, minimumAvailable, maximumUnavailable }
}

function createServers(scenario: WaveScenario): readonly BackendServer[] {
	return Array.from({ length: scenario.servers }, (_, index) => {
		const zone = Math.floor(index / scenario.pools) % scenario.zones
		const rack = `r${zone}-${Math.floor(index / scenario.zones / SERVERS_PER_RACK)}`
		const place = { availabilityZone: `z${zone}`, rack, pool: `pool-${index % scenario.pools}` }
		return { name: `s${index}`, ...place, address: '', slots: 8, connections: 64 }
	})
}
