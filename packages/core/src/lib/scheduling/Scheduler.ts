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
 * Options of {@link Scheduler}.
 *
 * @public
 */
interface Options<Unit> {
	readonly timers: TimerService
	readonly allowances: AllowanceSource<Unit>
	readonly slots: SlotSource
	readonly policy: SharePolicy
	/** Returns the current share weights, by team. */
	readonly getWeights: () => ReadonlyMap<TeamId, number>
	/** Returns the load of a pool at the other daemons, by team. */
	readonly getPeerLoad: (pool: PoolId) => ReadonlyMap<TeamId, TeamLoad>
	/** Called for each request that starts. */
	readonly onStart: (start: RequestStart<Unit>) => void
	/** Called for each request whose start deadline has passed. */
	readonly onExpired: (request: WaitingRequest) => void
}

/**
 * Starts waiting requests according to team shares, allowances and free slots. Runs whenever a
 * request arrives or capacity is freed, and on every tick.
 *
 * @public
 */
export class Scheduler<Unit = unknown> {
	readonly queues = new RequestQueues()
	/** Called after a request of a pool was submitted, finished or requeued. */
	onChange: (pool: PoolId) => void = () => undefined
	private readonly running = new Map<PoolId, Map<TeamId, number>>()
	private isStarting = false

	constructor(private readonly options: Options<Unit>) {}

	/** Queues a request and starts it immediately if possible. */
	submit(request: WaitingRequest): void {
		this.queues.add(request)
		this.startEligible(request.pool)
		this.onChange(request.pool)
	}

	/** Puts a request that must start again at the front of its queue. */
	requeue(request: WaitingRequest): void {
		this.queues.requeue(request)
		this.startEligible(request.pool)
		this.onChange(request.pool)
	}

	/**
	 * Returns the slot demand of a pool by team and urgency.
	 *
	 * @param getLimit - returns how many requests of a team may start now
	 */
	getDemands(pool: PoolId, getLimit: (team: TeamId) => number): SlotDemand[] {
		const now = this.options.timers.now()
		return this.queues
			.getTeams(pool)
			.flatMap((team) => this.queues.getDemands(pool, team, now, getLimit(team)))
	}

	/** Removes a waiting request. Returns false if it has already started. */
	cancel(request: WaitingRequest): boolean {
		return this.queues.remove(request)
	}

	/** Records that a started request has ended and that its allowance unit and slot are free. */
	finish(request: WaitingRequest): void {
		this.changeRunning(request.pool, request.team, -1)
		this.startEligible(request.pool)
		this.onChange(request.pool)
	}

	/** Expires requests past their start deadline and starts eligible requests, in every pool. */
	tick(): void {
		for (const request of this.queues.getExpired(this.options.timers.now())) {
			this.queues.remove(request)
			this.options.onExpired(request)
		}
		for (const pool of this.queues.getPools()) this.startEligible(pool)
	}

	/** Returns this daemon's running and waiting requests on a pool, by team. */
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

	/** Returns this daemon's waiting requests over all pools, by team. */
	getQueuedByTeam(): Map<TeamId, number> {
		const queued = new Map<TeamId, number>()
		for (const pool of this.queues.getPools()) {
			for (const team of this.queues.getTeams(pool)) {
				queued.set(team, (queued.get(team) ?? 0) + this.queues.getTeamQueueSize(pool, team))
			}
		}
		return queued
	}

	/** Returns the pools on which this daemon has running or waiting requests. */
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

	/** Starts the next request of the pool. Returns false if none may start now. */
	private startNext(pool: PoolId): boolean {
		if (this.queues.getTeams(pool).length === 0) return false
		return this.options.policy
			.rankTeams(this.getLoad(pool))
			.some((team) => this.startForTeam(pool, team))
	}

	private startForTeam(pool: PoolId, team: TeamId): boolean {
		const { slots, allowances } = this.options
		const request = this.queues.getNext(pool, team)
		if (!request) return false
		const server = slots.reserve(pool, team)
		if (server === undefined) return false
		const unit = allowances.tryAcquire(team)
		if (unit === undefined) {
			slots.release(server, pool, team)
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
