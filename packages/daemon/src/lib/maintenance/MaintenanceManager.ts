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

const TICK_INTERVAL_MILLISECONDS = 500
/** Interval between plans as a multiple of the planning time; limits planning to 1/300 of a CPU. */
const PLAN_INTERVAL_FACTOR = 300
/** Minimum age of the local log offset that a peer must have folded to be a candidate proposer. */
const CATCH_UP_MILLISECONDS = 10_000
/** Delay before a step that was not accepted is proposed again. */
const RETRY_DELAY_MILLISECONDS = 5000

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly log: MaintenanceLog
	readonly instance: InstanceId
	readonly peers: MaintenancePeers
	readonly monitor: LocalMaintenanceMonitor
	readonly waves: WavePlanner
	readonly moves: MovePlanner
	/** Returns the fleet-wide demand by pool. */
	readonly getDemands: () => ReadonlyMap<PoolId, PoolDemand>
}

/**
 * Plans and proposes the steps of waves and moves. Every daemon plans; only the one that rendezvous
 * hashing selects among the reachable, caught-up daemons proposes, which saves appends. Safety does
 * not depend on a single proposer: the fold rejects duplicate and stale steps.
 *
 * @public
 */
export class MaintenanceManager {
	/** Why each waiting wave waits, as of the last tick. */
	waveWaitReasons: ReadonlyMap<WaveId, string> = new Map()
	private timer: Subscription | undefined
	/** By step, the earliest time of its next proposal; Infinity while a proposal is in flight. */
	private readonly blockedUntil = new Map<string, Milliseconds>()
	/** Log offset that a peer must have folded to be a candidate: the local one 10 to 20 s ago. */
	private requiredOffset = -1
	private nextRequiredOffset = -1
	private requiredOffsetSetAt: Milliseconds = -Infinity
	private nextPlanAt: Milliseconds = -Infinity

	constructor(private readonly options: Options) {}

	start(): void {
		this.timer = this.options.timers.every(TICK_INTERVAL_MILLISECONDS, () => {
			this.tick()
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	/** Plans the due steps, and proposes them if this daemon is the proposer. */
	tick(): void {
		const { log, monitor, waves, moves, timers, instance, getDemands } = this.options
		if (!log.isReady || !log.state.members.has(instance)) return
		const startedAt = timers.now()
		if (startedAt < this.nextPlanAt) return
		this.updateRequiredOffset()
		const plan = waves.plan(log.state, monitor)
		this.waveWaitReasons = plan.reasons
		const moveSteps = moves.plan(log.state, monitor, getDemands(), startedAt)
		this.nextPlanAt = startedAt + (timers.now() - startedAt) * PLAN_INTERVAL_FACTOR
		if (!this.isProposer()) return
		monitor.refresh()
		this.removeElapsedBlocks()
		for (const step of plan.steps) {
			this.propose({ kind: 'wave-step', id: randomUUID(), ...step, proposer: instance })
		}
		for (const step of moveSteps) {
			this.propose({ kind: 'move', id: randomUUID(), ...step, proposer: instance })
		}
	}

	/** Whether this daemon ranks before all peers that have folded the log up to `requiredOffset`. */
	private isProposer(): boolean {
		const { peers, instance } = this.options
		const score = (name: InstanceId): number => getRendezvousScore(name, 'maintenance')
		const ownScore = score(instance)
		return peers
			.getCurrentInstances(this.requiredOffset)
			.every((peer) => score(peer) < ownScore || (score(peer) === ownScore && peer > instance))
	}

	private updateRequiredOffset(): void {
		const now = this.options.timers.now()
		if (now - this.requiredOffsetSetAt < CATCH_UP_MILLISECONDS) return
		this.requiredOffsetSetAt = now
		this.requiredOffset = this.nextRequiredOffset
		this.nextRequiredOffset = this.options.log.state.offset
	}

	private removeElapsedBlocks(): void {
		const now = this.options.timers.now()
		for (const [key, time] of this.blockedUntil) if (time <= now) this.blockedUntil.delete(key)
	}

	private propose(proposal: Extract<Proposal, { kind: 'wave-step' | 'move' }>): void {
		const { backendServer, step, since } = proposal
		const target = proposal.kind === 'move' ? proposal.to : proposal.wave
		const key = `${proposal.kind} ${target} ${backendServer} ${step} ${since}`
		if (this.blockedUntil.has(key)) return
		this.blockedUntil.set(key, Infinity)
		void this.awaitDecision(key, proposal)
	}

	private async awaitDecision(
		key: string,
		proposal: Extract<Proposal, { kind: 'wave-step' | 'move' }>
	): Promise<void> {
		const { log, logger, timers } = this.options
		const outcome = await log.propose(proposal)
		const { kind, backendServer: server, step } = proposal
		if (outcome.type === 'decided' && outcome.decision.type === 'accepted') {
			this.blockedUntil.delete(key)
			logger.info('maintenance-step', { kind, server, step })
			return
		}
		const reason = outcome.type === 'decided' ? 'rejected by the log' : outcome.reason
		logger.info('maintenance-step-open', { kind, server, step, reason })
		this.blockedUntil.set(key, timers.now() + RETRY_DELAY_MILLISECONDS)
	}
}
