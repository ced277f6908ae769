import type { Urgency } from '../fleet/Urgency.js'
import type { SlotDemand } from '../slots/SlotDemand.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** Consecutive starts of urgent requests before a waiting ordinary request starts. */
const MAXIMUM_CONSECUTIVE_URGENT_STARTS = 7

const URGENCIES: readonly Urgency[] = ['urgent', 'ordinary']

interface UrgencyQueue {
	/** Requests that were put back; they start before those in `arrived`. */
	readonly requeued: Set<WaitingRequest>
	readonly arrived: Set<WaitingRequest>
}

/**
 * Queue of one team's requests for one pool: first in, first out within each urgency.
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
		const { requeued, arrived } = this.queues[request.urgency]
		return arrived.delete(request) || requeued.delete(request)
	}

	/** Returns the request to start next: urgent before ordinary, without starving ordinary requests. */
	getNext(): WaitingRequest | undefined {
		const urgent = this.getFirst('urgent')
		const ordinary = this.getFirst('ordinary')
		if (ordinary && this.consecutiveUrgentStarts >= MAXIMUM_CONSECUTIVE_URGENT_STARTS)
			return ordinary
		return urgent ?? ordinary
	}

	/** Removes a request that is being started. */
	dequeue(request: WaitingRequest): void {
		this.remove(request)
		this.consecutiveUrgentStarts =
			request.urgency === 'urgent' ? this.consecutiveUrgentStarts + 1 : 0
	}

	/** Returns the slot demand by urgency for at most `limit` requests, urgent ones first. */
	getDemands(now: number, limit: number): SlotDemand[] {
		const demands: SlotDemand[] = []
		let remaining = limit
		for (const urgency of URGENCIES) {
			const first = this.getFirst(urgency)
			const count = Math.min(remaining, this.getQueueSize(urgency))
			if (!first || count <= 0) continue
			remaining -= count
			demands.push({ team: first.team, urgency, count, oldestAge: now - first.enqueuedAt })
		}
		return demands
	}

	/** Returns the requests whose start deadline has passed at `now`. */
	getExpired(now: number): WaitingRequest[] {
		return Object.values(this.queues)
			.flatMap(({ requeued, arrived }) => [...requeued, ...arrived])
			.filter((request) => request.startDeadline <= now)
	}

	private getFirst(urgency: Urgency): WaitingRequest | undefined {
		const { requeued, arrived } = this.queues[urgency]
		for (const requests of [requeued, arrived]) {
			const first = requests.values().next()
			if (!first.done) return first.value
		}
		return undefined
	}

	private getQueueSize(urgency: Urgency): number {
		const { requeued, arrived } = this.queues[urgency]
		return requeued.size + arrived.size
	}
}
