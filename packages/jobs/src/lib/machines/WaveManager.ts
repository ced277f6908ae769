import type { BackendRow } from '@mastichead/core'
import { sortByDisruptionCost, canDisruptBackend } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { OwnerContext } from '../owner/OwnerContext.js'
import type { ProgressWriter } from '../owner/ProgressWriter.js'
import type { TaskUpdater } from '../owner/TaskUpdater.js'
import type { Machine } from '../ports/Machine.js'
import type { MachineInventory } from './MachineInventory.js'
import type { MachineController } from '../ports/MachineController.js'
import type { MaintenanceWave } from '../ports/MaintenanceWave.js'
import type { WaveProgress } from './WaveProgress.js'
import type { WaveRow } from './WaveRow.js'

/** Share of a wave's time after which machines are taken also from pools that need them. */
const SPARING_SHARE = 0.5
const MILLISECONDS_PER_SECOND = 1_000
/** Time for tasks that end by themselves before a machine is taken down all the same. */
const EVACUATION_TIMEOUT = 4_000
/** Machines that are emptied ahead, for each that may be down. */
const EVACUATED_AHEAD = 1
/** A machine counts as down for at least this long after its order, in milliseconds. */
const MINIMUM_DOWN_TIME = 1_500
/** Time for an order to be recorded before it is put off, in milliseconds. */
const DURABILITY_TIMEOUT = 1_000

/**
 * Carries out the operator's waves of maintenance: empties machines, takes them down where
 * availability allows, never more at once than asked, and reports.
 *
 * @public
 */
export class WaveManager {
	private readonly rows = new Map<string, WaveRow>()
	private stopped = false

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly controller: MachineController
			readonly ledger: TaskUpdater
			readonly inventory: MachineInventory
			/** Whether the machine is on its way into another pool. */
			readonly isArriving: (machine: string) => boolean
			/** Machines that a service's pool can do without; negative if it is short. */
			readonly getSlack: (service: string) => number
			readonly getWaves: () => ReadonlyMap<string, MaintenanceWave>
			readonly writer: ProgressWriter
			/** Tells the operator how far a wave is; resolves to whether that is durable. */
			readonly reportWave: (key: string, state: 'running' | 'completed') => Promise<boolean>
			/** Progress that earlier owners have recorded. */
			readonly getWaveProgress: (key: string) => WaveProgress | undefined
		}
	) {}

	stop(): void {
		this.stopped = true
	}

	/** Carries every wave on by what can be done now. */
	async advanceWaves(): Promise<void> {
		for (const [key, wave] of this.options.getWaves())
			await this.advanceWave(this.getOrCreateRow(key, wave))
	}

	/** Whether a wave is emptying the machine or has taken it down. */
	isReserved(machine: string): boolean {
		for (const row of this.rows.values()) {
			if (row.closing.has(machine) || row.down.has(machine)) return true
		}
		return false
	}

	private getOrCreateRow(key: string, wave: MaintenanceWave): WaveRow {
		const known = this.rows.get(key)
		if (known) return known
		const progress = this.options.getWaveProgress(key)
		const ordered = progress?.ordered ?? []
		const done = new Set(progress?.done)
		const row: WaveRow = {
			key,
			wave,
			ordered: new Set(ordered),
			orderedByEarlierOwners: new Set(ordered.filter((machine) => !done.has(machine))),
			done,
			down: new Map(),
			closing: new Map(),
			receivedAt: progress?.receivedAt ?? this.context.getWallTime(),
			reported: progress?.reported ?? 'nothing',
		}
		this.rows.set(key, row)
		return row
	}

	private async advanceWave(row: WaveRow): Promise<void> {
		if (row.reported === 'completed' || this.stopped) return
		if (row.reported === 'nothing' && (await this.options.reportWave(row.key, 'running'))) {
			row.reported = 'running'
			this.recordProgress(row)
		}
		this.updateDownMachines(row)
		this.completeRemovedMachines(row)
		const open = row.wave.machines.filter((machine) => !row.done.has(machine))
		if (open.length === 0) {
			await this.completeWave(row)
			return
		}
		this.closeNextMachines(row, open)
		for (const machine of [...row.closing.keys()]) await this.tryStartMaintenance(row, machine)
	}

	private async completeWave(row: WaveRow): Promise<void> {
		if (!(await this.options.reportWave(row.key, 'completed'))) return
		row.reported = 'completed'
		this.recordProgress(row)
		this.context.events.info('wave-completed', { wave: row.wave.number, machines: row.done.size })
	}

	private updateDownMachines(row: WaveRow): void {
		const { inventory } = this.options
		for (const [machine, orderedAt] of row.down) {
			if (inventory.listedAt < orderedAt + MINIMUM_DOWN_TIME) continue
			if (this.getMachine(machine)?.state === 'up') row.down.delete(machine)
		}
		for (const machine of row.wave.machines) {
			if (this.getMachine(machine)?.state !== 'maintenance' || row.down.has(machine)) continue
			row.down.set(machine, inventory.listedAt)
		}
	}

	/** A machine that the platform no longer lists needs no maintenance. */
	private completeRemovedMachines(row: WaveRow): void {
		for (const machine of row.wave.machines) {
			if (row.done.has(machine) || this.getMachine(machine)) continue
			row.done.add(machine)
			row.closing.delete(machine)
			row.down.delete(machine)
			this.context.events.info('wave-machine-gone', { wave: row.wave.number, machine })
		}
	}

	/** Empties the machines whose turn comes next. */
	private closeNextMachines(row: WaveRow, open: readonly string[]): void {
		const limit = row.wave.atOnce * (1 + EVACUATED_AHEAD)
		const backends = new Map<BackendRow, string>()
		for (const machine of open) {
			if (row.closing.has(machine) || this.getMachine(machine)?.state !== 'up') continue
			if (this.options.isArriving(machine)) continue
			const backend = this.options.inventory.getBackend(machine)
			if (backend) backends.set(backend, machine)
			// Nothing of ours runs on a machine without a registered server.
			else if (row.closing.size < limit) this.closeMachine(row, machine, undefined)
		}
		const closing = new Map<string, number>()
		for (const backend of sortByDisruptionCost([...backends.keys()])) {
			if (row.closing.size >= limit) return
			const { service } = backend
			const others = closing.get(service) ?? 0
			if (backend.cordoned || !this.mayCloseMachine(row, service, others)) continue
			closing.set(service, others + 1)
			this.closeMachine(row, backends.get(backend) ?? '', backend)
		}
	}

	private closeMachine(row: WaveRow, machine: string, backend: BackendRow | undefined): void {
		const { timers, events } = this.context
		row.closing.set(machine, timers.now())
		if (!backend) return
		backend.cordoned = true
		events.info('backend-closing', { backend: backend.id, machine, tasks: backend.tasks.size })
	}

	/**
	 * A pool that needs all it has is left alone while the wave has time.
	 *
	 * @param others - machines of the pool that have been closed in this round
	 */
	private mayCloseMachine(row: WaveRow, service: string, others: number): boolean {
		const elapsed = this.context.getWallTime() - row.receivedAt
		const patient = row.wave.deadline * MILLISECONDS_PER_SECOND * SPARING_SHARE
		return elapsed > patient || this.options.getSlack(service) > others
	}

	private async tryStartMaintenance(row: WaveRow, machine: string): Promise<void> {
		const { events, timers, token } = this.context
		const backend = this.options.inventory.getBackend(machine)
		if (row.down.size >= row.wave.atOnce || this.isStopped()) return
		if (!this.options.inventory.isSafeToOrder(machine)) return
		if (backend && !backend.cordoned) {
			// Its server has registered since the machine was chosen: it has to be emptied first.
			this.closeMachine(row, machine, backend)
			return
		}
		if (backend && !this.isEvacuated(backend, row.closing.get(machine) ?? 0)) return
		if (backend && !canDisruptBackend(backend)) return
		row.down.set(machine, timers.now())
		row.ordered.add(machine)
		this.recordProgress(row)
		if (!(await this.waitForDurability()) || !this.context.mayAct()) {
			row.down.delete(machine)
			return
		}
		const result = await this.options.controller.maintain(machine, row.wave.number, token)
		const waited = timers.now() - (row.closing.get(machine) ?? timers.now())
		events.info('machine-maintenance', {
			wave: row.wave.number,
			machine,
			backend: backend?.id,
			tasks: backend?.tasks.size,
			waited,
			...result,
		})
		if (this.isStopped()) return
		if (result.kind === 'done') this.handleMaintenanceStarted(row, machine, backend)
		else if (result.kind === 'refused') this.handleMaintenanceRefused(row, machine, result.reason)
	}

	private isEvacuated(backend: BackendRow, since: number): boolean {
		if (this.context.timers.now() - since > EVACUATION_TIMEOUT) return true
		for (const task of backend.tasks.values()) if (!task.step.lasting) return false
		return true
	}

	private handleMaintenanceStarted(
		row: WaveRow,
		machine: string,
		backend: BackendRow | undefined
	): void {
		row.done.add(machine)
		row.closing.delete(machine)
		row.down.set(machine, this.context.timers.now())
		this.recordProgress(row)
		if (!backend) return
		// Only a first order is sure to have ended what ran: a repeat may have changed nothing.
		if (row.orderedByEarlierOwners.has(machine)) {
			backend.cordoned = false
			return
		}
		backend.registered = false
		this.options.ledger.endLostRuns(backend, 'machine taken down for maintenance')
	}

	private handleMaintenanceRefused(row: WaveRow, machine: string, reason: string): void {
		row.down.delete(machine)
		if (reason === 'fence') this.context.endTerm(`maintenance of ${machine} refused: fence`)
		if (reason !== 'wave') return
		row.done.add(machine)
		row.closing.delete(machine)
		const backend = this.options.inventory.getBackend(machine)
		if (backend) backend.cordoned = false
	}

	private recordProgress(row: WaveRow): void {
		const { key, ordered, done, receivedAt } = row
		this.options.writer.markRecordChanged(key, () => {
			const { reported } = row
			return JobRecords.createWaveProgressRecord(key, {
				ordered: [...ordered],
				done: [...done],
				receivedAt,
				reported,
			})
		})
	}

	/** Resolves to whether what was recorded is durable. */
	private waitForDurability(): Promise<boolean> {
		return new Promise((resolve) => {
			this.context.timers.after(DURABILITY_TIMEOUT, () => {
				resolve(false)
			})
			this.options.writer.whenDurable(() => {
				resolve(true)
			})
		})
	}

	private isStopped(): boolean {
		return this.stopped
	}

	private getMachine(machine: string): Machine | undefined {
		return this.options.inventory.get(machine)
	}
}
