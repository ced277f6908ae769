import type { Machine } from '../ports/Machine.js'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import { MachineController } from '../ports/MachineController.js'

/**
 * Machine controller that records the orders without carrying them out.
 *
 * @internal
 */
export class MemoryMachineController extends MachineController {
	/** Orders in the form `maintain MACHINE WAVE TOKEN` or `move MACHINE SERVICE TOKEN`. */
	readonly orders: string[] = []

	constructor(private readonly machines: Machine[] = []) {
		super()
	}

	override list(): Promise<readonly Machine[] | undefined> {
		return Promise.resolve([...this.machines])
	}

	override maintain(machine: string, wave: number, token: number): Promise<MachineOrderResult> {
		this.orders.push(`maintain ${machine} ${wave} ${token}`)
		return Promise.resolve({ kind: 'done' })
	}

	override move(machine: string, service: string, token: number): Promise<MachineOrderResult> {
		this.orders.push(`move ${machine} ${service} ${token}`)
		return Promise.resolve({ kind: 'done' })
	}
}
