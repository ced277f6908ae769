import type { BackendTable, TimerService } from '@mastichead/core'
import type { Machine } from '../ports/Machine.js'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import { MachineController } from '../ports/MachineController.js'

/**
 * Machine controller that carries out moves: after the move time a new backend server of the pool is
 * ready on the machine. A machine in the spare pool has no backend server.
 *
 * @internal
 */
export class ArrivingMachineController extends MachineController {
	/** Time from an order until the backend server is ready, in milliseconds. */
	moveTime = 0
	private readonly machines = new Map<string, Machine>()
	private serverCount = 0

	constructor(
		private readonly timers: TimerService,
		private readonly backends: BackendTable,
		private readonly sparePool: string
	) {
		super()
	}

	/** Adds a machine of 16 cores to a pool. */
	add(id: string, service: string): void {
		const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
		const machine: Machine = {
			id,
			service,
			state: 'up',
			zone: 'a',
			labels: [],
			capacity,
			backend: '',
		}
		this.machines.set(id, machine)
		if (service !== this.sparePool) this.startServer(machine)
	}

	override list(): Promise<readonly Machine[] | undefined> {
		return Promise.resolve([...this.machines.values()])
	}

	override maintain(): Promise<MachineOrderResult> {
		return Promise.resolve({ kind: 'refused', reason: 'wave' })
	}

	override move(id: string, service: string): Promise<MachineOrderResult> {
		const machine = this.machines.get(id)
		if (machine?.state !== 'up') return Promise.resolve({ kind: 'refused', reason: 'busy' })
		this.machines.set(id, { ...machine, service, state: 'moving' })
		this.timers.after(this.moveTime, () => {
			this.add(id, service)
		})
		return Promise.resolve({ kind: 'done' })
	}

	private startServer({ id, service, capacity }: Machine): void {
		this.serverCount += 1
		const row = this.backends.getOrCreate(`b${this.serverCount}`)
		Object.assign(row, { machine: id, service, capacity, registered: true, reconciled: true })
		row.idleSince = this.timers.now()
	}
}
