import type { BackendRow } from '../BackendRow.js'
import type { ReadyStep } from '../placement/ReadyStep.js'
import type { Resources } from '../Resources.js'
import { addResources } from '../addResources.js'
import { fitsWithin } from '../placement/fitsWithin.js'
import { getHostRefusal } from '../placement/getHostRefusal.js'
import { getReservedResources } from '../placement/getReservedResources.js'
import { noResources } from '../noResources.js'
import type { ExpectedEnds } from './ExpectedEnds.js'
import { ReservationPolicy } from './ReservationPolicy.js'

/** Share of a server's capacity from which a task is wide: gaps that small tasks leave rarely fit it. */
const WIDE_SHARE = 0.25
/** Maximum number of reservations for one service in a plan, which bounds its cost. */
const MAXIMUM_RESERVATIONS = 8

interface Reservation {
	/** Time from which the room is reserved, on the owner's monotonic clock in milliseconds. */
	readonly startsAt: number
	/** Resources that are free from then on beside the reserved ones. */
	spare: Resources
}

/**
 * Reserves for each wide task that waits the server whose tasks end soonest to make room for it. Other
 * tasks use the gaps there if they end before, or fit beside it.
 *
 * @public
 */
export class BackfillReservations extends ReservationPolicy {
	private now = 0
	private readonly reservations = new Map<BackendRow, Reservation>()
	private readonly countByService = new Map<string, number>()

	constructor(private readonly ends: ExpectedEnds) {
		super()
	}

	override reset(now: number): void {
		this.now = now
		this.reservations.clear()
		this.countByService.clear()
	}

	override reserve(readyStep: ReadyStep, backends: readonly BackendRow[]): void {
		const { step, pending } = readyStep
		if (step.lasting || step.gang || step.fills) return
		const needs = getReservedResources(step)
		const unplaced = pending.filter(({ phase }) => phase === 'pending').length
		for (let count = 0; count < unplaced; count += 1) {
			if (!this.reserveOne(readyStep, needs, backends)) return
		}
	}

	override allows({ row, step }: ReadyStep, backend: BackendRow): boolean {
		const reservation = this.reservations.get(backend)
		if (!reservation || step.lasting) return true
		if (this.ends.getEnd(row.job, step) <= reservation.startsAt) return true
		return fitsWithin(getReservedResources(step), noResources, reservation.spare)
	}

	override recordPlacement({ row, step }: ReadyStep, backend: BackendRow): void {
		const reservation = this.reservations.get(backend)
		if (!reservation || this.ends.getEnd(row.job, step) <= reservation.startsAt) return
		reservation.spare = addResources(reservation.spare, getReservedResources(step), -1)
	}

	private reserveOne(
		readyStep: ReadyStep,
		needs: Resources,
		backends: readonly BackendRow[]
	): boolean {
		const service = backends[0]?.service ?? ''
		const count = this.countByService.get(service) ?? 0
		if (count >= MAXIMUM_RESERVATIONS) return false
		let best: { readonly backend: BackendRow; readonly reservation: Reservation } | undefined
		for (const backend of backends) {
			if (needs.cpu < backend.capacity.cpu * WIDE_SHARE) continue
			if (this.reservations.has(backend)) continue
			if (getHostRefusal(readyStep, backend) !== 'room') continue
			const reservation = this.getReservation(needs, backend)
			if (!reservation) continue
			if (!best || reservation.startsAt < best.reservation.startsAt) best = { backend, reservation }
		}
		if (!best) return false
		this.reservations.set(best.backend, best.reservation)
		this.countByService.set(service, count + 1)
		return true
	}

	/** Returns when enough of a server's tasks have ended; undefined if lasting tasks leave no room. */
	private getReservation(needs: Resources, backend: BackendRow): Reservation | undefined {
		const { capacity, used, unexpected } = backend
		let taken = addResources(used, unexpected)
		let startsAt = this.now
		for (const { at, freed } of this.ends.getEnds(backend)) {
			if (fitsWithin(needs, taken, capacity)) break
			taken = addResources(taken, freed, -1)
			startsAt = at
		}
		if (!fitsWithin(needs, taken, capacity)) return undefined
		return { startsAt, spare: addResources(addResources(capacity, taken, -1), needs, -1) }
	}
}
