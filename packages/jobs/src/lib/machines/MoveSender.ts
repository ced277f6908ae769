import type { MachineMove } from '@mastichead/core'
import { ConcurrencyLimit } from '../ConcurrencyLimit.js'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import type { MachineController } from '../ports/MachineController.js'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import type { MachineArrivals } from './MachineArrivals.js'
import type { MachineInventory } from './MachineInventory.js'
import { MachineOrderJournal } from './MachineOrderJournal.js'
import { OrderPace } from './OrderPace.js'

/** Delay before the next order for a machine whose move failed, in milliseconds. */
const FAILED_MOVE_COOLDOWN = 2_000
/** Maximum number of attempts of one order that gets no answer. */
const MAXIMUM_ATTEMPTS = 3
/** Maximum number of orders without an answer at a time, so that none waits after it was permitted. */
const MAXIMUM_ORDERS_IN_FLIGHT = 4
/** Time in which the orders of a round should have been sent, in milliseconds. */
const SEND_TIME = 500

/**
 * Records the orders of an owner that move machines between pools, and sends them at the platform's rate.
 *
 * @internal
 */
export class MoveSender {
	/** Time until which no order is sent for a machine whose move failed, by machine. */
	private readonly pausedUntil = new Map<string, number>()
	private readonly orderLimit = new ConcurrencyLimit(MAXIMUM_ORDERS_IN_FLIGHT)
	private readonly orderPace: OrderPace

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly controller: MachineController
			readonly inventory: MachineInventory
			readonly arrivals: MachineArrivals
			readonly orders: Pick<MachineOrderJournal, 'record'>
			/** Orders for machines that the platform accepts in a second; no limit by default. */
			readonly ordersPerSecond?: number | undefined
		}
	) {
		this.orderPace = new OrderPace(context.timers, options.ordersPerSecond)
	}

	/** Returns how many orders can be sent soon at the platform's rate. */
	countSendable(): number {
		return this.orderPace.countWithin(SEND_TIME)
	}

	/** Whether no order is sent for a machine, because its last move failed. */
	isPaused(machine: string, now: number): boolean {
		return (this.pausedUntil.get(machine) ?? 0) > now
	}

	/** Takes the machines out of placement, records the orders for them, and sends them. */
	async send(moves: readonly MachineMove[]): Promise<void> {
		const { timers, events } = this.context
		const { arrivals } = this.options
		for (const { machine, to } of moves) {
			const backend = this.options.inventory.getBackend(machine)
			if (backend) backend.cordoned = true
			arrivals.add(machine, to, timers.now())
		}
		const machines = moves.map(({ machine }) => machine)
		const sendBy = timers.now() + MachineOrderJournal.validity
		if (await this.options.orders.record(machines)) {
			for (const move of moves) this.executeMove(move, sendBy).catch(this.context.fail)
			return
		}
		events.warn('machine-moves-dropped', { machines, reason: 'not recorded in time' })
		for (const machine of machines) this.cancelMove(machine)
	}

	/** @param sendBy - time until which the record of the order lets it be sent */
	private async executeMove(move: MachineMove, sendBy: number): Promise<void> {
		const { events } = this.context
		const backend = this.options.inventory.getBackend(move.machine)
		let result = await this.sendMove(move, sendBy)
		for (let attempt = 1; result.kind === 'unknown' && attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
			result = await this.sendMove(move, sendBy)
		}
		events.info('machine-move', { ...move, backend: backend?.id, ...result })
		if (result.kind === 'done') {
			if (backend) backend.registered = false
			this.options.inventory.recordStateChange(move.machine, { service: move.to, state: 'moving' })
			return
		}
		this.cancelMove(move.machine)
		if (result.kind === 'refused' && result.reason === 'fence') {
			this.context.endTerm(`move of ${move.machine} refused: fence`)
		}
	}

	/** Sends an order if this owner may still order machines, and order this one, when its turn comes. */
	private async sendMove(
		{ machine, to }: MachineMove,
		sendBy: number
	): Promise<MachineOrderResult> {
		const { mayOrderMachines, token, timers } = this.context
		await this.orderPace.wait()
		return this.orderLimit.run(() => {
			if (timers.now() > sendBy)
				return Promise.resolve({ kind: 'limited', detail: 'recorded too long ago' })
			if (mayOrderMachines()) return this.options.controller.move(machine, to, token)
			return Promise.resolve({ kind: 'limited', detail: 'ownership may have been lost' })
		})
	}

	private cancelMove(machine: string): void {
		this.options.arrivals.cancel(machine)
		this.pausedUntil.set(machine, this.context.timers.now() + FAILED_MOVE_COOLDOWN)
		const backend = this.options.inventory.getBackend(machine)
		if (backend) backend.cordoned = false
	}
}
