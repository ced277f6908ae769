import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'

/** Time for which a reservation is kept. A member that still has unmet demand asks again sooner. */
const RESERVATION_LIFETIME: Milliseconds = 1500

/** Time for which a member may keep using a unit that other members wait for. */
const TURN_DURATION: Milliseconds = 1000

interface Reservation {
	amount: number
	expiresAt: Milliseconds
}

/**
 * Tracks the units that other members requested from this one and did not get, and which member's
 * turn it is when there are fewer units than members with demand.
 *
 * @internal
 */
export class Reservations {
	private readonly reservations = new Map<TeamId, Map<InstanceId, Reservation>>()
	private readonly servedAt = new Map<TeamId, Map<InstanceId, Milliseconds>>()

	constructor(private readonly timers: TimerService) {}

	/** Records the units that a member requested and did not get; 0 if it got all of them. */
	setUnmetDemand(team: TeamId, instance: InstanceId, amount: number): void {
		const waiting = this.reservations.get(team) ?? new Map<InstanceId, Reservation>()
		if (amount === 0) waiting.delete(instance)
		else waiting.set(instance, { amount, expiresAt: this.timers.now() + RESERVATION_LIFETIME })
		if (waiting.size === 0) this.reservations.delete(team)
		else this.reservations.set(team, waiting)
	}

	/** Returns the number of units that other members wait for. */
	getReservedUnits(team: TeamId): number {
		let reserved = 0
		for (const { amount } of this.getReservations(team).values()) reserved += amount
		return reserved
	}

	/** Records that a member got a unit. Its turn begins with the first one. */
	recordServed(team: TeamId, instance: InstanceId): void {
		if (this.holdsTurn(team, instance)) return
		const served = this.servedAt.get(team) ?? new Map<InstanceId, Milliseconds>()
		this.servedAt.set(team, served.set(instance, this.timers.now()))
	}

	/**
	 * Whether it is a member's turn. After `TURN_DURATION`, the turn passes to the waiting member whose
	 * last turn began first.
	 *
	 * @param requester - a member that waits too, although it has no reservation yet
	 */
	isNextInTurn(team: TeamId, instance: InstanceId, requester?: InstanceId): boolean {
		if (this.holdsTurn(team, instance)) return true
		const ownServedAt = this.getServedAt(team, instance)
		const others = new Set(this.getReservations(team).keys())
		if (requester !== undefined) others.add(requester)
		others.delete(instance)
		return [...others].every((other) => this.getServedAt(team, other) >= ownServedAt)
	}

	/** Counts the other waiting members whose last turn began before that of this member. */
	countServedEarlier(team: TeamId, instance: InstanceId): number {
		const ownServedAt = this.getServedAt(team, instance)
		const others = [...this.getReservations(team).keys()].filter((other) => other !== instance)
		return others.filter((other) => this.getServedAt(team, other) < ownServedAt).length
	}

	private holdsTurn(team: TeamId, instance: InstanceId): boolean {
		return this.timers.now() - this.getServedAt(team, instance) < TURN_DURATION
	}

	private getServedAt(team: TeamId, instance: InstanceId): Milliseconds {
		return this.servedAt.get(team)?.get(instance) ?? -Infinity
	}

	private getReservations(team: TeamId): Map<InstanceId, Reservation> {
		const waiting = this.reservations.get(team)
		if (!waiting) return new Map()
		const now = this.timers.now()
		for (const [instance, { expiresAt }] of waiting) {
			if (now >= expiresAt) waiting.delete(instance)
		}
		return waiting
	}
}
