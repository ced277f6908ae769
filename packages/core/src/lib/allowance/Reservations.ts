import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'

/** Time for which an unanswered need is remembered; the member asks again sooner. */
const RESERVATION_TIME: Milliseconds = 1500

/** Time for which a member may go on using a unit that others wait for. */
const TURN: Milliseconds = 1000

interface Reservation {
	amount: number
	until: Milliseconds
}

/**
 * Needs of other members that this member could not meet yet, and whose turn it is.
 *
 * @internal
 */
export class Reservations {
	private readonly waiting = new Map<TeamId, Map<InstanceId, Reservation>>()
	private readonly servedAt = new Map<TeamId, Map<InstanceId, Milliseconds>>()

	constructor(private readonly timerService: TimerService) {}

	/** Notes what a member asked for in vain; 0 when it got everything. */
	set(team: TeamId, instance: InstanceId, amount: number): void {
		const waiting = this.waiting.get(team) ?? new Map<InstanceId, Reservation>()
		if (amount === 0) waiting.delete(instance)
		else waiting.set(instance, { amount, until: this.timerService.now() + RESERVATION_TIME })
		if (waiting.size === 0) this.waiting.delete(team)
		else this.waiting.set(team, waiting)
	}

	/** Units that are waited for. */
	getReserved(team: TeamId): number {
		let reserved = 0
		for (const { amount } of this.getWaiting(team).values()) reserved += amount
		return reserved
	}

	/** Notes that a member got a unit. Its turn begins with the first. */
	noteServed(team: TeamId, instance: InstanceId): void {
		if (this.isInTurn(team, instance)) return
		const served = this.servedAt.get(team) ?? new Map<InstanceId, Milliseconds>()
		this.servedAt.set(team, served.set(instance, this.timerService.now()))
	}

	/**
	 * Whether it is the turn of a member: it lasts a while, and then goes to the one that waits
	 * whose last turn began first.
	 *
	 * @param asker - a member that waits from now on
	 */
	isNext(team: TeamId, instance: InstanceId, asker?: InstanceId): boolean {
		if (this.isInTurn(team, instance)) return true
		const own = this.getServedAt(team, instance)
		const others = new Set(this.getWaiting(team).keys())
		if (asker !== undefined) others.add(asker)
		others.delete(instance)
		return [...others].every((other) => this.getServedAt(team, other) >= own)
	}

	/** Number of other members that wait and got their last unit earlier than this one. */
	countBefore(team: TeamId, instance: InstanceId): number {
		const own = this.getServedAt(team, instance)
		const others = [...this.getWaiting(team).keys()].filter((other) => other !== instance)
		return others.filter((other) => this.getServedAt(team, other) < own).length
	}

	private isInTurn(team: TeamId, instance: InstanceId): boolean {
		return this.timerService.now() - this.getServedAt(team, instance) < TURN
	}

	private getServedAt(team: TeamId, instance: InstanceId): Milliseconds {
		return this.servedAt.get(team)?.get(instance) ?? -Infinity
	}

	private getWaiting(team: TeamId): Map<InstanceId, Reservation> {
		const waiting = this.waiting.get(team)
		if (!waiting) return new Map()
		const now = this.timerService.now()
		for (const [instance, { until }] of waiting) {
			if (now >= until) waiting.delete(instance)
		}
		return waiting
	}
}
