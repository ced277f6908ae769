import {
	getRendezvousScore,
	type InstanceId,
	type Milliseconds,
	type MovePlanner,
	type PoolDemand,
	type PoolId,
	type Proposal,
	type Subscription,
	type TimerService,
	type WaveId,
	type WavePlanner,
} from '@mastichead/core'
import { randomUUID } from 'node:crypto'
import type { Logger } from 'winston'
import type { LocalMaintenanceMonitor } from './LocalMaintenanceMonitor.js'
import type { MaintenanceLog } from './MaintenanceLog.js'
import type { MaintenancePeers } from './MaintenancePeers.js'

const TICK_MILLISECONDS = 500
/** Planning takes at most one part in this many of the processor. */
const PLANNING_PART = 300
/** Time that a peer has to fold what this daemon has, to count as a proposer. */
const LAG_MILLISECONDS = 10_000
/** Time before a step that was rejected is proposed again. */
const REJECTED_MILLISECONDS = 5000

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly log: MaintenanceLog
	readonly instance: InstanceId
	readonly peers: MaintenancePeers
	readonly monitor: LocalMaintenanceMonitor
	readonly waves: WavePlanner
	readonly moves: MovePlanner
	/** Fleet-wide demand by pool. */
	readonly getDemands: () => ReadonlyMap<PoolId, PoolDemand>
}

/**
 * Carries waves and moves forward. Every daemon runs it; the one that rendezvous hashing prefers
 * among those that are reachable and follow the log proposes, which saves appends. Safety does not
 * rest on that: two proposers, or one that wakes up late, are settled by the fold.
 *
 * @public
 */
export class MaintenanceManager {
	/** Why waves wait, by wave, as of the last tick. */
	waveWaitReasons: ReadonlyMap<WaveId, string> = new Map()
	private timer: Subscription | undefined
	/** Steps that must not be proposed before an instant; Infinity while one is on its way. */
	private readonly held = new Map<string, Milliseconds>()
	private lagOffset = -1
	private nextLagOffset = -1
	private lagAt: Milliseconds = -Infinity
	private nextPlanAt: Milliseconds = -Infinity

	constructor(private readonly options: Options) {}

	start(): void {
		this.timer = this.options.timers.every(TICK_MILLISECONDS, () => {
			this.tick()
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	/** Proposes the steps that are due, if this daemon is the one to. */
	tick(): void {
		const { log, monitor: evidence, waves, moves, timers, instance, getDemands } = this.options
		if (!log.isReady || !log.state.members.has(instance)) return
		const startedAt = timers.now()
		if (startedAt < this.nextPlanAt) return
		this.noteOffset()
		const plan = waves.plan(log.state, evidence)
		this.waveWaitReasons = plan.reasons
		const moveSteps = moves.plan(log.state, evidence, getDemands(), startedAt)
		this.nextPlanAt = startedAt + (timers.now() - startedAt) * PLANNING_PART
		if (!this.isProposer()) return
		evidence.refresh()
		this.releaseHeld()
		for (const step of plan.steps) {
			this.propose({ kind: 'wave-step', id: randomUUID(), ...step, proposer: instance })
		}
		for (const step of moveSteps) {
			this.propose({ kind: 'move', id: randomUUID(), ...step, proposer: instance })
		}
	}

	/** The candidates are those that have folded what this daemon had folded some seconds ago. */
	private isProposer(): boolean {
		const { peers, instance } = this.options
		const score = (name: InstanceId): number => getRendezvousScore(name, 'maintenance')
		const own = score(instance)
		return peers
			.getCurrentInstances(this.lagOffset)
			.every((peer) => score(peer) < own || (score(peer) === own && peer > instance))
	}

	private noteOffset(): void {
		const now = this.options.timers.now()
		if (now - this.lagAt < LAG_MILLISECONDS) return
		this.lagAt = now
		this.lagOffset = this.nextLagOffset
		this.nextLagOffset = this.options.log.state.offset
	}

	private releaseHeld(): void {
		const now = this.options.timers.now()
		for (const [key, until] of this.held) if (until <= now) this.held.delete(key)
	}

	private propose(proposal: Extract<Proposal, { kind: 'wave-step' | 'move' }>): void {
		const { backendServer, step, since } = proposal
		const target = proposal.kind === 'move' ? proposal.to : proposal.wave
		const key = `${proposal.kind} ${target} ${backendServer} ${step} ${since}`
		if (this.held.has(key)) return
		this.held.set(key, Infinity)
		void this.settle(key, proposal)
	}

	private async settle(
		key: string,
		proposal: Extract<Proposal, { kind: 'wave-step' | 'move' }>
	): Promise<void> {
		const { log, logger, timers } = this.options
		const outcome = await log.propose(proposal)
		const { kind, backendServer: server, step } = proposal
		if (outcome.type === 'decided' && outcome.decision.type === 'accepted') {
			this.held.delete(key)
			logger.info('maintenance-step', { kind, server, step })
			return
		}
		const reason = outcome.type === 'decided' ? 'rejected by the fold' : outcome.reason
		logger.info('maintenance-step-open', { kind, server, step, reason })
		this.held.set(key, timers.now() + REJECTED_MILLISECONDS)
	}
}
