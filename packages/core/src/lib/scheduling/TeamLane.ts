import type { Urgency } from '../fleet/Urgency.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** Starts of urgent requests in a row, while ordinary ones wait. */
const URGENT_STARTS_IN_A_ROW = 7

/**
 * Requests of one team that wait for one pool, in order of arrival by urgency.
 *
 * @internal
 */
export class TeamLane {
	private readonly waiting: Record<Urgency, Set<WaitingRequest>> = {
		urgent: new Set(),
		ordinary: new Set(),
	}
	private urgentInARow = 0

	get size(): number {
		return this.waiting.urgent.size + this.waiting.ordinary.size
	}

	add(request: WaitingRequest): void {
		this.waiting[request.urgency].add(request)
	}

	remove(request: WaitingRequest): boolean {
		return this.waiting[request.urgency].delete(request)
	}

	/** The request to start next: urgent before ordinary, without starving the ordinary ones. */
	getNext(): WaitingRequest | undefined {
		const urgent = getFirst(this.waiting.urgent)
		const ordinary = getFirst(this.waiting.ordinary)
		if (ordinary && this.urgentInARow >= URGENT_STARTS_IN_A_ROW) return ordinary
		return urgent ?? ordinary
	}

	/** Removes a request that starts. */
	start(request: WaitingRequest): void {
		this.remove(request)
		this.urgentInARow = request.urgency === 'urgent' ? this.urgentInARow + 1 : 0
	}

	/** Requests whose start is too late at `now`. */
	getLate(now: number): WaitingRequest[] {
		const late: WaitingRequest[] = []
		for (const requests of Object.values(this.waiting)) {
			for (const request of requests) if (request.startBy <= now) late.push(request)
		}
		return late
	}
}

function getFirst(requests: ReadonlySet<WaitingRequest>): WaitingRequest | undefined {
	const first = requests.values().next()
	return first.done ? undefined : first.value
}
