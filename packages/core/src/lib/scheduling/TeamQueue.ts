import type { Urgency } from '../fleet/Urgency.js'
import type { SlotDemand } from '../slots/SlotDemand.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** Starts of urgent requests in a row, while ordinary ones wait. */
const MAXIMUM_CONSECUTIVE_URGENT_STARTS = 7

const URGENCIES: readonly Urgency[] = ['urgent', 'ordinary']

interface UrgencyQueue {
	/** Requests that were put back; they go first. */
	readonly requeued: Set<WaitingRequest>
	readonly arrived: Set<WaitingRequest>
}

/**
 * Requests of one team that wait for one pool, in order of arrival by urgency.
 *
 * @internal
 */
export class TeamQueue {
	private readonly queues: Record<Urgency, UrgencyQueue> = {
		urgent: { requeued: new Set(), arrived: new Set() },
		ordinary: { requeued: new Set(), arrived: new Set() },
	}
	private consecutiveUrgentStarts = 0

	get size(): number {
		return this.getQueueSize('urgent') + this.getQueueSize('ordinary')
	}

	add(request: WaitingRequest): void {
		this.queues[request.urgency].arrived.add(request)
	}

	requeue(request: WaitingRequest): void {
		this.queues[request.urgency].requeued.add(request)
	}

	remove(request: WaitingRequest): boolean {
		const { requeued: returned, arrived } = this.queues[request.urgency]
		return arrived.delete(request) || returned.delete(request)
	}

	/** The request to start next: urgent before ordinary, without starving the ordinary ones. */
	getNext(): WaitingRequest | undefined {
		const urgent = this.getFirst('urgent')
		const ordinary = this.getFirst('ordinary')
		if (ordinary && this.consecutiveUrgentStarts >= MAXIMUM_CONSECUTIVE_URGENT_STARTS)
			return ordinary
		return urgent ?? ordinary
	}

	/** Removes a request that starts. */
	dequeue(request: WaitingRequest): void {
		this.remove(request)
		this.consecutiveUrgentStarts =
			request.urgency === 'urgent' ? this.consecutiveUrgentStarts + 1 : 0
	}

	/** Requests that wait for a slot by urgency, at most `room` of them, urgent ones first. */
	getDemands(now: number, room: number): SlotDemand[] {
		const demands: SlotDemand[] = []
		let left = room
		for (const urgency of URGENCIES) {
			const first = this.getFirst(urgency)
			const count = Math.min(left, this.getQueueSize(urgency))
			if (!first || count <= 0) continue
			left -= count
			demands.push({ team: first.team, urgency, count, oldestAge: now - first.enqueuedAt })
		}
		return demands
	}

	/** Requests whose start is too late at `now`. */
	getExpired(now: number): WaitingRequest[] {
		return Object.values(this.queues)
			.flatMap(({ requeued: returned, arrived }) => [...returned, ...arrived])
			.filter((request) => request.startDeadline <= now)
	}

	private getFirst(urgency: Urgency): WaitingRequest | undefined {
		const { requeued: returned, arrived } = this.queues[urgency]
		for (const requests of [returned, arrived]) {
			const first = requests.values().next()
			if (!first.done) return first.value
		}
		return undefined
	}

	private getQueueSize(urgency: Urgency): number {
		const { requeued: returned, arrived } = this.queues[urgency]
		return returned.size + arrived.size
	}
}
