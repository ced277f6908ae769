import type { PoolId } from '../ids/PoolId.js'
import type { QueueId } from '../ids/QueueId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { SlotDemand } from '../slots/SlotDemand.js'
import { TeamQueue } from './TeamQueue.js'
import type { WaitingRequest } from './WaitingRequest.js'

/**
 * Queues of the requests that wait at one daemon, by pool and team.
 *
 * @public
 */
export class RequestQueues {
	private readonly teamQueues = new Map<PoolId, Map<TeamId, TeamQueue>>()
	private readonly queueSizes = new Map<QueueId, number>()

	add(request: WaitingRequest): void {
		this.getTeamQueue(request.pool, request.team).add(request)
		this.queueSizes.set(request.queue, this.getQueueSize(request.queue) + 1)
	}

	/** Removes a cancelled or expired request. Returns false if it is not waiting. */
	remove(request: WaitingRequest): boolean {
		const isRemoved = this.teamQueues.get(request.pool)?.get(request.team)?.remove(request) ?? false
		if (isRemoved) this.recordRemoval(request)
		return isRemoved
	}

	/** Removes a request that is being started. */
	dequeue(request: WaitingRequest): void {
		this.getTeamQueue(request.pool, request.team).dequeue(request)
		this.recordRemoval(request)
	}

	/** Puts a request that did not run back at the front of its queue. */
	requeue(request: WaitingRequest): void {
		this.getTeamQueue(request.pool, request.team).requeue(request)
		this.queueSizes.set(request.queue, this.getQueueSize(request.queue) + 1)
	}

	/** Returns the slot demand of a team by urgency, for at most `limit` requests. */
	getDemands(pool: PoolId, team: TeamId, now: number, limit: number): SlotDemand[] {
		return this.teamQueues.get(pool)?.get(team)?.getDemands(now, limit) ?? []
	}

	getNext(pool: PoolId, team: TeamId): WaitingRequest | undefined {
		return this.teamQueues.get(pool)?.get(team)?.getNext()
	}

	/** Returns the waiting requests of all queues whose start deadline has passed at `now`. */
	getExpired(now: number): WaitingRequest[] {
		const expired: WaitingRequest[] = []
		for (const teams of this.teamQueues.values()) {
			for (const queue of teams.values()) expired.push(...queue.getExpired(now))
		}
		return expired
	}

	getQueueSize(queue: QueueId): number {
		return this.queueSizes.get(queue) ?? 0
	}

	getTeamQueueSize(pool: PoolId, team: TeamId): number {
		return this.teamQueues.get(pool)?.get(team)?.size ?? 0
	}

	/** Returns the teams with requests that wait for the pool. */
	getTeams(pool: PoolId): TeamId[] {
		return [...(this.teamQueues.get(pool)?.keys() ?? [])]
	}

	getPools(): PoolId[] {
		return [...this.teamQueues.keys()]
	}

	private getTeamQueue(pool: PoolId, team: TeamId): TeamQueue {
		const teams = this.teamQueues.get(pool) ?? new Map<TeamId, TeamQueue>()
		this.teamQueues.set(pool, teams)
		const queue = teams.get(team) ?? new TeamQueue()
		teams.set(team, queue)
		return queue
	}

	/** Updates the size of the request's queue and removes maps that became empty. */
	private recordRemoval(request: WaitingRequest): void {
		const size = this.getQueueSize(request.queue) - 1
		if (size > 0) this.queueSizes.set(request.queue, size)
		else this.queueSizes.delete(request.queue)
		if (this.getTeamQueueSize(request.pool, request.team) > 0) return
		const teams = this.teamQueues.get(request.pool)
		teams?.delete(request.team)
		if (teams?.size === 0) this.teamQueues.delete(request.pool)
	}
}
