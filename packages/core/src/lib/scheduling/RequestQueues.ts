import type { PoolId } from '../ids/PoolId.js'
import type { QueueId } from '../ids/QueueId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { SlotDemand } from '../slots/SlotDemand.js'
import { TeamQueue } from './TeamQueue.js'
import type { WaitingRequest } from './WaitingRequest.js'

/**
 * Tables of the requests that wait at one daemon, by pool and team.
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

	/** Takes out a request that is cancelled or late; false when it does not wait. */
	remove(request: WaitingRequest): boolean {
		const isRemoved = this.teamQueues.get(request.pool)?.get(request.team)?.remove(request) ?? false
		if (isRemoved) this.recordRemoval(request)
		return isRemoved
	}

	/** Takes out a request that starts. */
	dequeue(request: WaitingRequest): void {
		this.getTeamQueue(request.pool, request.team).dequeue(request)
		this.recordRemoval(request)
	}

	/** Puts a request that did not run back to the front. */
	requeue(request: WaitingRequest): void {
		this.getTeamQueue(request.pool, request.team).requeue(request)
		this.queueSizes.set(request.queue, this.getQueueSize(request.queue) + 1)
	}

	/** Requests of a team that wait for a slot, at most `room` of them. */
	getDemands(pool: PoolId, team: TeamId, now: number, room: number): SlotDemand[] {
		return this.teamQueues.get(pool)?.get(team)?.getDemands(now, room) ?? []
	}

	getNext(pool: PoolId, team: TeamId): WaitingRequest | undefined {
		return this.teamQueues.get(pool)?.get(team)?.getNext()
	}

	/** Requests of every queue that wait with a start that is too late at `now`. */
	getExpired(now: number): WaitingRequest[] {
		const late: WaitingRequest[] = []
		for (const teams of this.teamQueues.values()) {
			for (const lane of teams.values()) late.push(...lane.getExpired(now))
		}
		return late
	}

	getQueueSize(queue: QueueId): number {
		return this.queueSizes.get(queue) ?? 0
	}

	getTeamQueueSize(pool: PoolId, team: TeamId): number {
		return this.teamQueues.get(pool)?.get(team)?.size ?? 0
	}

	/** Teams with requests that wait for a pool. */
	getTeams(pool: PoolId): TeamId[] {
		return [...(this.teamQueues.get(pool)?.keys() ?? [])]
	}

	getPools(): PoolId[] {
		return [...this.teamQueues.keys()]
	}

	private getTeamQueue(pool: PoolId, team: TeamId): TeamQueue {
		const teams = this.teamQueues.get(pool) ?? new Map<TeamId, TeamQueue>()
		this.teamQueues.set(pool, teams)
		const lane = teams.get(team) ?? new TeamQueue()
		teams.set(team, lane)
		return lane
	}

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
