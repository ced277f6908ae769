import type { PoolId } from '../ids/PoolId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { TimerService } from '../time/TimerService.js'
import type { AllowanceSource } from './AllowanceSource.js'
import type { PoolLoad } from './PoolLoad.js'
import { RequestQueues } from './RequestQueues.js'
import type { SlotDemand } from '../slots/SlotDemand.js'
import type { SlotSource } from './SlotSource.js'
import type { SharePolicy } from './SharePolicy.js'
import type { RequestStart } from './RequestStart.js'
import type { TeamLoad } from './TeamLoad.js'
import type { WaitingRequest } from './WaitingRequest.js'

/**
 * What a scheduler works with.
 *
 * @public
 */
interface Options<Unit> {
	readonly timers: TimerService
	readonly allowances: AllowanceSource<Unit>
	readonly slots: SlotSource
	readonly policy: SharePolicy
	/** Weights of the teams in force. */
	readonly getWeights: () => ReadonlyMap<TeamId, number>
	/** Load of a pool at the other daemons. */
	readonly getPeerLoad: (pool: PoolId) => ReadonlyMap<TeamId, TeamLoad>
	/** Called for each request that starts. */
	readonly onStart: (start: RequestStart<Unit>) => void
	/** Called for each request whose start would be too late. */
	readonly onExpired: (request: WaitingRequest) => void
}

/**
 * Starts waiting requests by share, allowance and free slots. It runs on demand, whenever a request
 * comes or something comes free, and every tick.
 *
 * @public
 */
export class Scheduler<Unit = unknown> {
	readonly queues = new RequestQueues()
	/** Called when requests of a pool came, ended or wait again. */
	onChange: (pool: PoolId) => void = () => undefined
	private readonly running = new Map<PoolId, Map<TeamId, number>>()
	private isStarting = false

	constructor(private readonly options: Options<Unit>) {}

	/** Queues a request and starts it at once where that is possible. */
	submit(request: WaitingRequest): void {
		this.queues.add(request)
		this.startEligible(request.pool)
		this.onChange(request.pool)
	}

	/** Puts a request that has to start again to the front of its queue. */
	requeue(request: WaitingRequest): void {
		this.queues.requeue(request)
		this.startEligible(request.pool)
		this.onChange(request.pool)
	}

	/**
	 * Requests of a pool that wait for a slot, by team and urgency.
	 *
	 * @param getRoom - how many requests of a team may start now
	 */
	getDemands(pool: PoolId, getRoom: (team: TeamId) => number): SlotDemand[] {
		const now = this.options.timers.now()
		return this.queues
			.getTeams(pool)
			.flatMap((team) => this.queues.getDemands(pool, team, now, getRoom(team)))
	}

	/** Takes out a request that waits; false when it has started. */
	cancel(request: WaitingRequest): boolean {
		return this.queues.remove(request)
	}

	/** Tells that a started request runs no more and that its unit and slot are free. */
	finish(request: WaitingRequest): void {
		this.changeRunning(request.pool, request.team, -1)
		this.startEligible(request.pool)
		this.onChange(request.pool)
	}

	/** Refuses late requests and starts what may start, in every pool. */
	tick(): void {
		for (const request of this.queues.getExpired(this.options.timers.now())) {
			this.queues.remove(request)
			this.options.onExpired(request)
		}
		for (const pool of this.queues.getPools()) this.startEligible(pool)
	}

	/** Running and waiting requests of this daemon on a pool, by team. */
	getOwnLoad(pool: PoolId): Map<TeamId, TeamLoad> {
		const load = new Map<TeamId, TeamLoad>()
		const running = this.running.get(pool)
		const teams = new Set([...(running?.keys() ?? []), ...this.queues.getTeams(pool)])
		for (const team of teams) {
			const queued = this.queues.getTeamQueueSize(pool, team)
			load.set(team, { team, running: running?.get(team) ?? 0, queued })
		}
		return load
	}

	/** Waiting requests of this daemon by team, over all pools. */
	getQueuedByTeam(): Map<TeamId, number> {
		const queued = new Map<TeamId, number>()
		for (const pool of this.queues.getPools()) {
			for (const team of this.queues.getTeams(pool)) {
				queued.set(team, (queued.get(team) ?? 0) + this.queues.getTeamQueueSize(pool, team))
			}
		}
		return queued
	}

	/** Pools on which this daemon has running or waiting requests. */
	getPools(): PoolId[] {
		return [...new Set([...this.running.keys(), ...this.queues.getPools()])]
	}

	private startEligible(pool: PoolId): void {
		if (this.isStarting) return
		this.isStarting = true
		try {
			while (this.startNext(pool));
		} finally {
			this.isStarting = false
		}
	}

	private startNext(pool: PoolId): boolean {
		if (this.queues.getTeams(pool).length === 0) return false
		return this.options.policy
			.rankTeams(this.getLoad(pool))
			.some((team) => this.startForTeam(pool, team))
	}

	private startForTeam(pool: PoolId, team: TeamId): boolean {
		const { slots: servers, allowances } = this.options
		const request = this.queues.getNext(pool, team)
		if (!request) return false
		const server = servers.reserve(pool, team)
		if (server === undefined) return false
		const unit = allowances.tryAcquire(team)
		if (unit === undefined) {
			servers.release(server, pool, team)
			return false
		}
		this.queues.dequeue(request)
		this.changeRunning(pool, team, 1)
		this.options.onStart({ request, unit, server })
		return true
	}

	private getLoad(pool: PoolId): PoolLoad {
		return {
			capacity: this.options.slots.getCapacity(pool),
			own: this.getOwnLoad(pool),
			peers: this.options.getPeerLoad(pool),
			weights: this.options.getWeights(),
		}
	}

	private changeRunning(pool: PoolId, team: TeamId, change: number): void {
		const teams = this.running.get(pool) ?? new Map<TeamId, number>()
		this.running.set(pool, teams)
		const running = (teams.get(team) ?? 0) + change
		if (running > 0) teams.set(team, running)
		else teams.delete(team)
		if (teams.size === 0) this.running.delete(pool)
	}
}
