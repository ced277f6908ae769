import type { Urgency } from '../fleet/Urgency.js'
import type { SlotDemand } from '../slots/SlotDemand.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** Starts of urgent requests in a row, while ordinary ones wait. */
const URGENT_STARTS_IN_A_ROW = 7

const URGENCIES: readonly Urgency[] = ['urgent', 'ordinary']

interface Line {
	/** Requests that were put back; they go first. */
	readonly returned: Set<WaitingRequest>
	readonly arrived: Set<WaitingRequest>
}

/**
 * Requests of one team that wait for one pool, in order of arrival by urgency.
 *
 * @internal
 */
export class TeamLane {
	private readonly lines: Record<Urgency, Line> = {
		urgent: { returned: new Set(), arrived: new Set() },
		ordinary: { returned: new Set(), arrived: new Set() },
	}
	private urgentInARow = 0

	get size(): number {
		return this.getLineSize('urgent') + this.getLineSize('ordinary')
	}

	add(request: WaitingRequest): void {
		this.lines[request.urgency].arrived.add(request)
	}

	putBack(request: WaitingRequest): void {
		this.lines[request.urgency].returned.add(request)
	}

	remove(request: WaitingRequest): boolean {
		const { returned, arrived } = this.lines[request.urgency]
		return arrived.delete(request) || returned.delete(request)
	}

	/** The request to start next: urgent before ordinary, without starving the ordinary ones. */
	getNext(): WaitingRequest | undefined {
		const urgent = this.getFirst('urgent')
		const ordinary = this.getFirst('ordinary')
		if (ordinary && this.urgentInARow >= URGENT_STARTS_IN_A_ROW) return ordinary
		return urgent ?? ordinary
	}

	/** Removes a request that starts. */
	start(request: WaitingRequest): void {
		this.remove(request)
		this.urgentInARow = request.urgency === 'urgent' ? this.urgentInARow + 1 : 0
	}

	/** Requests that wait for a slot by urgency, at most `room` of them, urgent ones first. */
	getDemands(now: number, room: number): SlotDemand[] {
		const demands: SlotDemand[] = []
		let left = room
		for (const urgency of URGENCIES) {
			const first = this.getFirst(urgency)
			const count = Math.min(left, this.getLineSize(urgency))
			if (!first || count <= 0) continue
			left -= count
			demands.push({ team: first.team, urgency, count, oldestAge: now - first.enqueuedAt })
		}
		return demands
	}

	/** Requests whose start is too late at `now`. */
	getLate(now: number): WaitingRequest[] {
		return Object.values(this.lines)
			.flatMap(({ returned, arrived }) => [...returned, ...arrived])
			.filter((request) => request.startBy <= now)
	}

	private getFirst(urgency: Urgency): WaitingRequest | undefined {
		const { returned, arrived } = this.lines[urgency]
		for (const requests of [returned, arrived]) {
			const first = requests.values().next()
			if (!first.done) return first.value
		}
		return undefined
	}

	private getLineSize(urgency: Urgency): number {
		const { returned, arrived } = this.lines[urgency]
		return returned.size + arrived.size
	}
}
