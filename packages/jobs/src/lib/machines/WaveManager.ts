import type { BackendRow } from '@mastichead/core'
import { canDisruptBackend, setInterrupting, sortByDisruptionCost } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import type { ProgressWriter } from '../owner/terms/ProgressWriter.js'
import type { TaskUpdater } from '../owner/monitoring/TaskUpdater.js'
import type { Machine } from '../ports/Machine.js'
import type { MachineInventory } from './MachineInventory.js'
import type { MachineOrderJournal } from './MachineOrderJournal.js'
import type { MachineController } from '../ports/MachineController.js'
import type { MaintenanceWave } from '../ports/MaintenanceWave.js'
import type { WaveProgress } from './WaveProgress.js'
import type { WaveRow } from './WaveRow.js'
import { createWaveProgress } from './createWaveProgress.js'
import { createWaveRow } from './createWaveRow.js'

/** Fraction of a wave's deadline until which pools that need all their machines are spared. */
const SPARING_SHARE = 0.5
const MILLISECONDS_PER_SECOND = 1_000
/** Time for tasks to end by themselves before their machine is taken down, in milliseconds. */
const EVACUATION_TIMEOUT = 4_000
/** Machines that are evacuated in advance, per machine that may be down at once. */
const EVACUATED_AHEAD = 1
/** Time after which a list must still lack a machine that counts as removed, in milliseconds. */
const MISSING_TIME = 3_000
/** Minimum time for which a machine counts as down after its order, in milliseconds. */
const MINIMUM_DOWN_TIME = 1_500

/**
 * Carries out the operator's maintenance waves: evacuates machines, takes them down as availability
 * allows and never more at once than the wave permits, and reports progress.
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
			readonly taskUpdater: Pick<TaskUpdater, 'endLostRuns'>
			readonly inventory: MachineInventory
			readonly orders: Pick<MachineOrderJournal, 'record' | 'isSafeToOrder'>
			/** Whether the machine is being moved to another pool. */
			readonly isArriving: (machine: string) => boolean
			/** Returns how many machines a pool has beyond its need; negative if it is short. */
			readonly getSlack: (service: string) => number
			readonly getWaves: () => ReadonlyMap<string, MaintenanceWave>
			readonly writer: ProgressWriter
			/** Reports the state of a wave to the operator; resolves to whether the report is durable. */
			readonly reportWave: (key: string, state: 'running' | 'completed') => Promise<boolean>
			/** Returns the progress that earlier owners have recorded. */
			readonly getWaveProgress: (key: string) => WaveProgress | undefined
		}
	) {}

	stop(): void {
		this.stopped = true
	}

	/**
	 * Advances every wave as far as possible now.
	 *
	 * @param mayInterruptTasks - whether lasting tasks may be interrupted yet; until then only machines on
	 * which none runs for certain are closed and taken down
	 */
	async advanceWaves(mayInterruptTasks: boolean): Promise<void> {
		for (const [key, wave] of this.options.getWaves())
			await this.advanceWave(this.getOrCreateRow(key, wave), mayInterruptTasks)
	}

	/** Whether a wave is evacuating the machine or has taken it down. */
	isReserved(machine: string): boolean {
		for (const row of this.rows.values()) {
			if (row.evacuating.has(machine) || row.down.has(machine)) return true
		}
		return false
	}

	private getOrCreateRow(key: string, wave: MaintenanceWave): WaveRow {
		const existing = this.rows.get(key)
		if (existing) return existing
		const progress = this.options.getWaveProgress(key)
		const row = createWaveRow(key, wave, progress, this.context.getWallTime())
		this.rows.set(key, row)
		return row
	}

	private async advanceWave(row: WaveRow, mayInterruptTasks: boolean): Promise<void> {
		if (row.reported === 'completed' || this.stopped) return
		if (row.reported === 'nothing' && (await this.options.reportWave(row.key, 'running'))) {
			row.reported = 'running'
			this.recordProgress(row)
		}
		this.updateDownMachines(row)
		this.completeRemovedMachines(row)
		const remainingMachines = row.wave.machines.filter((machine) => !row.done.has(machine))
		if (remainingMachines.length === 0) {
			await this.completeWave(row)
			return
		}
		const mayTakeDown = (machine: string): boolean =>
			mayInterruptTasks || this.hasNoLastingTasks(machine)
		this.cordonNextMachines(row, remainingMachines.filter(mayTakeDown))
		for (const machine of [...row.evacuating.keys()])
			if (mayTakeDown(machine)) await this.tryStartMaintenance(row, machine)
	}

	private async completeWave(row: WaveRow): Promise<void> {
		if (!(await this.options.reportWave(row.key, 'completed'))) return
		row.reported = 'completed'
		this.recordProgress(row)
		this.context.events.info('wave-completed', { wave: row.wave.number, machines: row.done.size })
	}

	/** Updates the machines that are down according to the platform's list. */
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

	/**
	 * Marks machines that the platform has not listed for a while as done. The time that has passed is
	 * recorded with each list, so that the next owner goes on from it.
	 */
	private completeRemovedMachines(row: WaveRow): void {
		const { inventory } = this.options
		for (const machine of row.wave.machines) {
			if (this.getMachine(machine) || inventory.getBackend(machine)) {
				row.missingSince.delete(machine)
				row.missingTimes.delete(machine)
			} else if (!row.done.has(machine) && !row.missingSince.has(machine)) {
				const earlier = row.missingTimes.get(machine) ?? 0
				row.missingSince.set(machine, this.context.timers.now() - earlier)
			}
		}
		for (const [machine, missingSince] of row.missingSince) {
			if (row.done.has(machine)) continue
			const missingTime = inventory.listedAt - missingSince
			// A wave may name a machine that is newer than the current list.
			if (missingTime >= MISSING_TIME) this.completeRemovedMachine(row, machine)
			else if (missingTime > (row.missingTimes.get(machine) ?? 0)) {
				row.missingTimes.set(machine, missingTime)
				this.recordProgress(row)
			}
		}
	}

	private completeRemovedMachine(row: WaveRow, machine: string): void {
		row.done.add(machine)
		row.evacuating.delete(machine)
		row.down.delete(machine)
		row.missingTimes.delete(machine)
		row.earlierEvacuations.delete(machine)
		this.recordProgress(row)
		this.context.events.info('wave-machine-gone', { wave: row.wave.number, machine })
	}

	/** Starts to evacuate the machines that are next in line. */
	private cordonNextMachines(row: WaveRow, remainingMachines: readonly string[]): void {
		const limit = row.wave.parallelism * (1 + EVACUATED_AHEAD)
		const backends = new Map<BackendRow, string>()
		for (const machine of remainingMachines) {
			if (row.evacuating.has(machine) || this.getMachine(machine)?.state !== 'up') continue
			if (this.options.isArriving(machine)) continue
			const backend = this.options.inventory.getBackend(machine)
			if (backend) backends.set(backend, machine)
			// No task runs on a machine without a backend server, so there is nothing to evacuate.
			else if (row.evacuating.size < limit) this.cordonMachine(row, machine, undefined)
		}
		const cordonedCounts = new Map<string, number>()
		const isStarted = (backend: BackendRow): boolean =>
			row.earlierEvacuations.has(backends.get(backend) ?? '')
		const sorted = sortByDisruptionCost([...backends.keys()])
		const started = sorted.filter(isStarted)
		for (const backend of [...started, ...sorted.filter((other) => !isStarted(other))]) {
			if (row.evacuating.size >= limit) return
			const { service } = backend
			const cordonedCount = cordonedCounts.get(service) ?? 0
			if (backend.cordoned || !this.mayCordonMachine(row, service, cordonedCount)) continue
			cordonedCounts.set(service, cordonedCount + 1)
			this.cordonMachine(row, backends.get(backend) ?? '', backend)
		}
	}

	private cordonMachine(row: WaveRow, machine: string, backend: BackendRow | undefined): void {
		const { timers, events, getWallTime } = this.context
		const earlierSince = row.earlierEvacuations.get(machine)
		row.earlierEvacuations.delete(machine)
		const elapsed = earlierSince === undefined ? 0 : Math.max(0, getWallTime() - earlierSince)
		row.evacuating.set(machine, timers.now() - elapsed)
		if (!backend) return
		backend.cordoned = true
		if (elapsed === 0 && !hasOnlyLastingTasks(backend)) this.recordProgress(row)
		events.info('backend-closing', { backend: backend.id, machine, tasks: backend.tasks.size })
	}

	/**
	 * Whether a machine of the pool may be cordoned. A pool that needs all its machines is spared
	 * while the wave has time left.
	 *
	 * @param cordonedCount - machines of the pool that were cordoned in this round
	 */
	private mayCordonMachine(row: WaveRow, service: string, cordonedCount: number): boolean {
		const elapsed = this.context.getWallTime() - row.receivedAt
		const sparingTime = row.wave.deadlineSeconds * MILLISECONDS_PER_SECOND * SPARING_SHARE
		return elapsed > sparingTime || this.options.getSlack(service) > cordonedCount
	}

	/** Counts the machines that are down, and those for which an earlier owner's order may be under way. */
	private countDownMachines(row: WaveRow): number {
		const { orders } = this.options
		const underWay = [...row.ordered].filter(
			(machine) => !row.down.has(machine) && !orders.isSafeToOrder(machine)
		)
		return row.down.size + underWay.length
	}

	/** Whether no lasting task runs on a machine for certain: its server has listed none, or it has none. */
	private hasNoLastingTasks(machine: string): boolean {
		const backend = this.options.inventory.getBackend(machine)
		if (!backend) return this.getMachine(machine)?.backend === ''
		if (!backend.reconciled || !backend.reachable) return false
		return [...backend.tasks.values()].every(({ step }) => !step.lasting)
	}

	private async tryStartMaintenance(row: WaveRow, machine: string): Promise<void> {
		const { events, timers, token } = this.context
		const backend = this.options.inventory.getBackend(machine)
		if (this.countDownMachines(row) >= row.wave.parallelism || this.isStopped()) return
		if (!this.options.orders.isSafeToOrder(machine)) return
		if (backend && !backend.cordoned) {
			// The server registered after the machine was chosen, so it must be evacuated first.
			this.cordonMachine(row, machine, backend)
			return
		}
		if (backend && !this.isEvacuated(backend, row.evacuating.get(machine) ?? 0)) return
		if (backend && !mayInterrupt(backend)) return
		if (!(await this.recordOrder(row, machine, backend))) {
			row.down.delete(machine)
			if (backend) setInterrupting(backend, false)
			return
		}
		const process = getProcess(backend)
		const result = await this.options.controller.maintain(machine, row.wave.number, token)
		const waited = timers.now() - (row.evacuating.get(machine) ?? timers.now())
		events.info('machine-maintenance', {
			wave: row.wave.number,
			machine,
			backend: backend?.id,
			tasks: backend?.tasks.size,
			waited,
			...result,
		})
		if (this.isStopped()) return
		if (result.kind === 'done') this.handleMaintenanceStarted(row, machine, backend, process)
		else if (result.kind === 'unknown') recordUnanswered(row, machine, process)
		else if (result.kind === 'refused') this.handleMaintenanceRefused(row, machine, result.reason)
	}

	/**
	 * Makes an order durable before it is sent. The tasks of the machine count as unavailable from here
	 * on. Resolves to whether the order may be sent now; other tasks may have ended in the meantime.
	 */
	private async recordOrder(
		row: WaveRow,
		machine: string,
		backend: BackendRow | undefined
	): Promise<boolean> {
		if (backend) setInterrupting(backend, true)
		row.down.set(machine, this.context.timers.now())
		row.ordered.add(machine)
		this.recordProgress(row)
		if (!(await this.options.orders.record([machine]))) return false
		return backend === undefined || mayInterrupt(backend)
	}

	private isEvacuated(backend: BackendRow, evacuatingSince: number): boolean {
		if (this.context.timers.now() - evacuatingSince > EVACUATION_TIMEOUT) return true
		return hasOnlyLastingTasks(backend)
	}

	private handleMaintenanceStarted(
		row: WaveRow,
		machine: string,
		backend: BackendRow | undefined,
		process: string | undefined
	): void {
		row.done.add(machine)
		row.evacuating.delete(machine)
		row.down.set(machine, this.context.timers.now())
		this.recordProgress(row)
		if (!backend) return
		if (mayHaveBeenDone(row, machine, process)) {
			backend.cordoned = false
			setInterrupting(backend, false)
			return
		}
		backend.registered = false
		this.options.taskUpdater.endLostRuns(backend, 'machine taken down for maintenance')
	}

	private handleMaintenanceRefused(row: WaveRow, machine: string, reason: string): void {
		row.down.delete(machine)
		const backend = this.options.inventory.getBackend(machine)
		if (backend) setInterrupting(backend, false)
		if (reason === 'fence') this.context.endTerm(`maintenance of ${machine} refused: fence`)
		if (reason !== 'wave') return
		row.done.add(machine)
		row.evacuating.delete(machine)
		if (backend) backend.cordoned = false
	}

	private recordProgress(row: WaveRow): void {
		const { timers, getWallTime } = this.context
		this.options.writer.markRecordChanged(row.key, () => {
			const progress = createWaveProgress(row, getWallTime() - timers.now())
			return JobRecords.createWaveProgressRecord(row.key, progress)
		})
	}

	private isStopped(): boolean {
		return this.stopped
	}

	private getMachine(machine: string): Machine | undefined {
		return this.options.inventory.get(machine)
	}
}

/** Whether everything on a backend server may end now. */
function mayInterrupt(backend: BackendRow): boolean {
	if (backend.unreadRuns.size > 0) return false
	// Its listing is the only evidence of ends that are not durable.
	if (backend.listsUnreadRuns || backend.lastProcessedEnd > backend.lastAcknowledgedEnd)
		return false
	return canDisruptBackend(backend)
}

function hasOnlyLastingTasks(backend: BackendRow): boolean {
	return [...backend.tasks.values()].every(({ step }) => step.lasting)
}

/** Returns the process of a backend server; undefined if it is not known. */
function getProcess(backend: BackendRow | undefined): string | undefined {
	return backend && backend.incarnation !== 0 ? `${backend.id}/${backend.incarnation}` : undefined
}

/** Records an order without an answer, and the process that ran on the machine when it was sent. */
function recordUnanswered(row: WaveRow, machine: string, process: string | undefined): void {
	if (!row.unansweredOrders.has(machine)) row.unansweredOrders.set(machine, process)
}

/**
 * Whether an order that was answered as done may have changed nothing, because an earlier one without
 * an answer had been carried out. Not if the process from before that one was still there: it has ended
 * with either of them.
 */
function mayHaveBeenDone(row: WaveRow, machine: string, process: string | undefined): boolean {
	if (!row.unansweredOrders.has(machine)) return false
	return process === undefined || row.unansweredOrders.get(machine) !== process
}
