import type { Machine } from '../ports/Machine.js'
import type { MachineResult } from '../ports/MachineResult.js'
import { MachineController } from '../ports/MachineController.js'

/**
 * Control of machines in memory: takes note of orders.
 *
 * @internal
 */
export class MemoryMachineController extends MachineController {
	readonly orders: string[] = []

	constructor(private readonly machines: Machine[] = []) {
		super()
	}

	override list(): Promise<readonly Machine[] | undefined> {
		return Promise.resolve([...this.machines])
	}

	override maintain(machine: string, wave: number, token: number): Promise<MachineResult> {
		this.orders.push(`maintain ${machine} ${wave} ${token}`)
		return Promise.resolve({ kind: 'done' })
	}

	override move(machine: string, service: string, token: number): Promise<MachineResult> {
		this.orders.push(`move ${machine} ${service} ${token}`)
		return Promise.resolve({ kind: 'done' })
	}
}
