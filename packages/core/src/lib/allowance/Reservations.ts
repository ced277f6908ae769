import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'

/** Time for which an unanswered need is remembered; the member asks again sooner. */
const RESERVATION_LIFETIME: Milliseconds = 1500

/** Time for which a member may go on using a unit that others wait for. */
const TURN_DURATION: Milliseconds = 1000

interface Reservation {
	amount: number
	expiresAt: Milliseconds
}

/**
 * Needs of other members that this member could not meet yet, and whose turn it is.
 *
 * @internal
 */
export class Reservations {
	private readonly reservations = new Map<TeamId, Map<InstanceId, Reservation>>()
	private readonly servedAt = new Map<TeamId, Map<InstanceId, Milliseconds>>()

	constructor(private readonly timerService: TimerService) {}

	/** Notes what a member asked for in vain; 0 when it got everything. */
	setUnmetDemand(team: TeamId, instance: InstanceId, amount: number): void {
		const waiting = this.reservations.get(team) ?? new Map<InstanceId, Reservation>()
		if (amount === 0) waiting.delete(instance)
		else
			waiting.set(instance, { amount, expiresAt: this.timerService.now() + RESERVATION_LIFETIME })
		if (waiting.size === 0) this.reservations.delete(team)
		else this.reservations.set(team, waiting)
	}

	/** Units that are waited for. */
	getReservedUnits(team: TeamId): number {
		let reserved = 0
		for (const { amount } of this.getReservations(team).values()) reserved += amount
		return reserved
	}

	/** Notes that a member got a unit. Its turn begins with the first. */
	recordServed(team: TeamId, instance: InstanceId): void {
		if (this.holdsTurn(team, instance)) return
		const served = this.servedAt.get(team) ?? new Map<InstanceId, Milliseconds>()
		this.servedAt.set(team, served.set(instance, this.timerService.now()))
	}

	/**
	 * Whether it is the turn of a member: it lasts a while, and then goes to the one that waits
	 * whose last turn began first.
	 *
	 * @param requester - a member that waits from now on
	 */
	isNextInTurn(team: TeamId, instance: InstanceId, requester?: InstanceId): boolean {
		if (this.holdsTurn(team, instance)) return true
		const own = this.getServedAt(team, instance)
		const others = new Set(this.getReservations(team).keys())
		if (requester !== undefined) others.add(requester)
		others.delete(instance)
		return [...others].every((other) => this.getServedAt(team, other) >= own)
	}

	/** Number of other members that wait and got their last unit earlier than this one. */
	countServedEarlier(team: TeamId, instance: InstanceId): number {
		const own = this.getServedAt(team, instance)
		const others = [...this.getReservations(team).keys()].filter((other) => other !== instance)
		return others.filter((other) => this.getServedAt(team, other) < own).length
	}

	private holdsTurn(team: TeamId, instance: InstanceId): boolean {
		return this.timerService.now() - this.getServedAt(team, instance) < TURN_DURATION
	}

	private getServedAt(team: TeamId, instance: InstanceId): Milliseconds {
		return this.servedAt.get(team)?.get(instance) ?? -Infinity
	}

	private getReservations(team: TeamId): Map<InstanceId, Reservation> {
		const waiting = this.reservations.get(team)
		if (!waiting) return new Map()
		const now = this.timerService.now()
		for (const [instance, { expiresAt: until }] of waiting) {
			if (now >= until) waiting.delete(instance)
		}
		return waiting
	}
}
