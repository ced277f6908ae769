import {
	assert,
	type BackendServer,
	MaintenanceEvidence,
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
const BEAT_INTERVAL: Milliseconds = 100_000
/** Time until the other daemons take over from a killed one. */
const TAKEOVER: Milliseconds = 10_000
/** Time until a backend server passes its health checks. */
const HEALTH: Milliseconds = 10_000
/** Spread of drain and maintenance around their means. */
const SPREAD = 0.2
/** Failures that are let pass; the bench measures time, not pauses. */
const FAILURE_LIMIT = 1000
const LONGEST: Milliseconds = 100 * 86_400_000

interface Result {
	readonly rollOut: Milliseconds
	readonly lowerBound: Milliseconds
	readonly appends: number
	readonly rejected: number
	readonly broken: number
	readonly plannerMilliseconds: number
	readonly ticks: number
}

/**
 * Rolls a wave out over the whole fleet in virtual time, with the real fold and planner.
 *
 * @internal
 */
export function runWave(scenario: WaveScenario, seed: number): Result {
	return new Simulation(scenario, seed).run()
}

class Simulation extends MaintenanceEvidence {
	private readonly log: SimulatedLog
	private readonly planner = new WavePlanner()
	private readonly servers: readonly BackendServer[]
	private readonly drains = new Map<string, Milliseconds>()
	private readonly maintenances = new Map<string, Milliseconds>()
	private readonly dead = new Set<string>()
	private now = 0
	private broken = 0
	private plannerMilliseconds = 0
	private ticks = 0

	constructor(
		private readonly scenario: WaveScenario,
		seed: number
	) {
		super()
		const random = createRandom(seed)
		this.servers = createServers(scenario)
		const pools = Array.from({ length: scenario.pools }, (_, at) => createPool(scenario, at))
		this.log = createSimulatedLog(pools, this.servers)
		const draw = (mean: Milliseconds): Milliseconds => mean * (1 - SPREAD + 2 * SPREAD * random())
		for (const { name } of this.servers) {
			this.drains.set(name, draw(scenario.drain))
			this.maintenances.set(name, draw(scenario.maintenance))
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
		let beatAt = 0
		while (this.log.state.waves.get(WAVE)?.state !== 'done') {
			this.now += this.scenario.tick
			assert(this.now < LONGEST, 'the wave ends')
			if (this.isOut()) continue
			if (this.now - beatAt >= BEAT_INTERVAL) {
				this.log.beat(this.now)
				beatAt = this.now
			}
			this.killRack()
			if (!this.isUnled()) this.step()
		}
		const { appended, accepted } = this.log
		return {
			rollOut: this.now,
			lowerBound: this.getLowerBound(),
			appends: appended,
			rejected: appended - accepted,
			broken: this.broken,
			plannerMilliseconds: this.plannerMilliseconds,
			ticks: this.ticks,
		}
	}

	override isDrained(server: string): boolean {
		return this.getAge(server) >= (this.drains.get(server) ?? 0)
	}

	override isReady(server: string): boolean {
		return (
			this.getAge(server) >= (this.maintenances.get(server) ?? 0) + HEALTH && !this.dead.has(server)
		)
	}

	override countRunning(): number {
		return 0
	}

	override getProgress(_wave: string, server: string): MaintenanceProgress {
		return this.getAge(server) >= (this.maintenances.get(server) ?? 0) ? 'done' : 'running'
	}

	private getAge(server: string): Milliseconds {
		return this.now - (this.log.state.placements.get(server)?.since?.at ?? this.now)
	}

	private isOut(): boolean {
		const { outageInterval, outage = 0 } = this.scenario
		return outageInterval !== undefined && this.now % outageInterval < outage
	}

	private isUnled(): boolean {
		const { killInterval } = this.scenario
		return killInterval !== undefined && this.now % killInterval < TAKEOVER
	}

	private killRack(): void {
		const { rackDiesAt = Infinity, rackDeadFor = 0 } = this.scenario
		const isDead = this.now >= rackDiesAt && this.now < rackDiesAt + rackDeadFor
		if (isDead === this.dead.size > 0) return
		const rack = this.servers[0]?.rack
		for (const { name } of this.servers.filter((server) => server.rack === rack)) {
			if (isDead) this.dead.add(name)
			else this.dead.delete(name)
			this.log.report(name, isDead, this.now)
		}
	}

	private step(): void {
		const startedAt = performance.now()
		const { steps } = this.planner.plan(this.log.state, this)
		this.plannerMilliseconds += performance.now() - startedAt
		this.ticks += 1
		for (const step of steps) {
			const id = this.log.createId()
			const proposal = { kind: 'wave-step' as const, id, ...step, proposer: 'bench' }
			const isAccepted = this.log.append(proposal, this.now)
			if (isAccepted && step.step === 'drain') this.checkBudget(step.backendServer)
		}
	}

	/** Counts anew, without the ledger. */
	private checkBudget(server: string): void {
		const pool = this.log.state.placements.get(server)?.pool ?? ''
		let out = 0
		for (const placement of this.log.state.placements.values()) {
			if (placement.pool !== pool) continue
			if (placement.activity.type !== 'serving' || placement.health === 'failed') out += 1
		}
		if (out > (this.log.state.pools.get(pool)?.maximumUnavailable ?? 0)) this.broken += 1
	}

	/** No order of steps is faster than the work of a pool, or of the fleet, at its full width. */
	private getLowerBound(): Milliseconds {
		const byPool = new Map<string, Milliseconds>()
		let total = 0
		for (const { name, pool } of this.servers) {
			const step = (this.drains.get(name) ?? 0) + (this.maintenances.get(name) ?? 0) + HEALTH
			byPool.set(pool, (byPool.get(pool) ?? 0) + step)
			total += step
		}
		const { maximumUnavailable, parallelism } = this.scenario
		return Math.max(total / parallelism, Math.max(...byPool.values()) / maximumUnavailable)
	}
}

function createPool(scenario: WaveScenario, at: number): Pool {
	const size = Math.floor(scenario.servers / scenario.pools)
	const { maximumUnavailable } = scenario
	const minimumAvailable = Math.max(1, size - maximumUnavailable)
	return { name: `pool-${at}`, spare: false, minimumAvailable, maximumUnavailable }
}

function createServers(scenario: WaveScenario): readonly BackendServer[] {
	return Array.from({ length: scenario.servers }, (_, at) => {
		const zone = Math.floor(at / scenario.pools) % scenario.zones
		const rack = `r${zone}-${Math.floor(at / scenario.zones / SERVERS_PER_RACK)}`
		const place = { availabilityZone: `z${zone}`, rack, pool: `pool-${at % scenario.pools}` }
		return { name: `s${at}`, ...place, address: '', slots: 8, connections: 64 }
	})
}
