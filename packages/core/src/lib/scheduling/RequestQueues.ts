import type { PoolId } from '../ids/PoolId.js'
import type { QueueId } from '../ids/QueueId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { SlotDemand } from '../slots/SlotDemand.js'
import { TeamLane } from './TeamLane.js'
import type { WaitingRequest } from './WaitingRequest.js'

/**
 * Tables of the requests that wait at one daemon, by pool and team.
 *
 * @public
 */
export class RequestQueues {
	private readonly lanes = new Map<PoolId, Map<TeamId, TeamLane>>()
	private readonly queueSizes = new Map<QueueId, number>()

	add(request: WaitingRequest): void {
		this.getLane(request.pool, request.team).add(request)
		this.queueSizes.set(request.queue, this.getQueueSize(request.queue) + 1)
	}

	/** Takes out a request that is cancelled or late; false when it does not wait. */
	remove(request: WaitingRequest): boolean {
		const isRemoved = this.lanes.get(request.pool)?.get(request.team)?.remove(request) ?? false
		if (isRemoved) this.forget(request)
		return isRemoved
	}

	/** Takes out a request that starts. */
	start(request: WaitingRequest): void {
		this.getLane(request.pool, request.team).start(request)
		this.forget(request)
	}

	/** Puts a request that did not run back to the front. */
	putBack(request: WaitingRequest): void {
		this.getLane(request.pool, request.team).putBack(request)
		this.queueSizes.set(request.queue, this.getQueueSize(request.queue) + 1)
	}

	/** Requests of a team that wait for a slot, at most `room` of them. */
	getDemands(pool: PoolId, team: TeamId, now: number, room: number): SlotDemand[] {
		return this.lanes.get(pool)?.get(team)?.getDemands(now, room) ?? []
	}

	getNext(pool: PoolId, team: TeamId): WaitingRequest | undefined {
		return this.lanes.get(pool)?.get(team)?.getNext()
	}

	/** Requests of every queue that wait with a start that is too late at `now`. */
	getLate(now: number): WaitingRequest[] {
		const late: WaitingRequest[] = []
		for (const teams of this.lanes.values()) {
			for (const lane of teams.values()) late.push(...lane.getLate(now))
		}
		return late
	}

	getQueueSize(queue: QueueId): number {
		return this.queueSizes.get(queue) ?? 0
	}

	getSize(pool: PoolId, team: TeamId): number {
		return this.lanes.get(pool)?.get(team)?.size ?? 0
	}

	/** Teams with requests that wait for a pool. */
	getTeams(pool: PoolId): TeamId[] {
		return [...(this.lanes.get(pool)?.keys() ?? [])]
	}

	getPools(): PoolId[] {
		return [...this.lanes.keys()]
	}

	private getLane(pool: PoolId, team: TeamId): TeamLane {
		const teams = this.lanes.get(pool) ?? new Map<TeamId, TeamLane>()
		this.lanes.set(pool, teams)
		const lane = teams.get(team) ?? new TeamLane()
		teams.set(team, lane)
		return lane
	}

	private forget(request: WaitingRequest): void {
		const size = this.getQueueSize(request.queue) - 1
		if (size > 0) this.queueSizes.set(request.queue, size)
		else this.queueSizes.delete(request.queue)
		if (this.getSize(request.pool, request.team) > 0) return
		const teams = this.lanes.get(request.pool)
		teams?.delete(request.team)
		if (teams?.size === 0) this.lanes.delete(request.pool)
	}
}
