import type { ArrivingMachines } from '@mastichead/core'
import type { MachineInventory } from './MachineInventory.js'

/** Time after a move until its machine is no longer expected to register, in milliseconds. */
const ARRIVAL_TIMEOUT = 4_000
/** Weight of the latest arrival in the average time of arrivals. */
const ARRIVAL_WEIGHT = 0.1

/**
 * The machines that an owner has ordered into pools and that have not registered there yet.
 *
 * @internal
 */
export class MachineArrivals {
	/** Average time from an order until the machine could run tasks; 0 until a machine has arrived. */
	averageTime = 0
	/** Machines being moved, with the target pool and the instant of the order. */
	private readonly arrivals = new Map<string, { readonly service: string; readonly at: number }>()

	constructor(private readonly inventory: MachineInventory) {}

	/** Number of machines on their way. */
	get size(): number {
		return this.arrivals.size
	}

	/** Whether a machine is being moved and has not registered yet. */
	has(machine: string): boolean {
		return this.arrivals.has(machine)
	}

	/** Adds a machine that is being ordered. */
	add(machine: string, service: string, now: number): void {
		this.arrivals.set(machine, { service, at: now })
	}

	/** Removes a machine whose order was not carried out. */
	cancel(machine: string): void {
		this.arrivals.delete(machine)
	}

	/** Removes the machines that have arrived, and those that did not in time. */
	removeEnded(now: number): void {
		for (const [machine, { service, at }] of this.arrivals) {
			const backend = this.inventory.getBackend(machine)
			const arrived = backend?.service === service && backend.reconciled
			if (arrived) this.recordTime(now - at)
			if (arrived || now - at > ARRIVAL_TIMEOUT) this.arrivals.delete(machine)
		}
	}

	/** Returns the machines that this term has ordered for a service's pool. */
	getArriving(service: string, now: number): ArrivingMachines {
		let count = 0
		let totalDelay = 0
		for (const arrival of this.arrivals.values()) {
			if (arrival.service !== service) continue
			count += 1
			totalDelay += Math.max(0, arrival.at + this.averageTime - now)
		}
		if (count === 0 || this.averageTime === 0) return { cores: 0, delay: 0 }
		return { cores: count * this.inventory.getMedianCores(), delay: totalDelay / count }
	}

	/** Counts the machines on the way to a pool, also those that an earlier owner has ordered. */
	count(service: string): number {
		const own = [...this.arrivals.values()].filter((entry) => entry.service === service).length
		const isOther = (machine: string): boolean => !this.arrivals.has(machine)
		return own + this.inventory.countMoving(service, ARRIVAL_TIMEOUT, isOther)
	}

	private recordTime(duration: number): void {
		if (this.averageTime === 0) this.averageTime = duration
		else this.averageTime += (duration - this.averageTime) * ARRIVAL_WEIGHT
	}
}
