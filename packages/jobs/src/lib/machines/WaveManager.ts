import type { BackendRow } from '@mastichead/core'
import { sortByDisruptionCost, canDisruptBackend } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { OwnerContext } from '../owner/OwnerContext.js'
import type { ProgressWriter } from '../owner/ProgressWriter.js'
import type { TaskUpdater } from '../owner/TaskUpdater.js'
import type { Machine } from '../ports/Machine.js'
import type { MachineInventory } from './MachineInventory.js'
import type { MachineOperator } from '../ports/MachineOperator.js'
import type { Wave } from '../ports/Wave.js'
import type { WaveProgress } from './WaveProgress.js'
import type { WaveRow } from './WaveRow.js'

/** Share of a wave's time after which machines are taken also from pools that need them. */
const PATIENT_SHARE = 0.5
const MILLISECONDS_PER_SECOND = 1_000
/** Time for tasks that end by themselves before a machine is taken down all the same. */
const MAXIMUM_EMPTYING_TIME = 4_000
/** Machines that are emptied ahead, for each that may be down. */
const EMPTIED_AHEAD = 1
/** A machine counts as down for at least this long after its order, in milliseconds. */
const MINIMUM_DOWN_TIME = 1_500
/** Time for an order to be recorded before it is put off, in milliseconds. */
const MAXIMUM_DURABILITY_WAIT = 1_000

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
		private readonly parts: {
			readonly operator: MachineOperator
			readonly ledger: TaskUpdater
			readonly inventory: MachineInventory
			/** Whether the machine is on its way into another pool. */
			readonly isArriving: (machine: string) => boolean
			/** Machines that a service's pool can do without; negative if it is short. */
			readonly getSlack: (service: string) => number
			readonly getWaves: () => ReadonlyMap<string, Wave>
			readonly writer: ProgressWriter
			/** Tells the operator how far a wave is; resolves to whether that is durable. */
			readonly report: (key: string, state: 'running' | 'completed') => Promise<boolean>
			/** Progress that earlier owners have recorded. */
			readonly getProgress: (key: string) => WaveProgress | undefined
		}
	) {}

	stop(): void {
		this.stopped = true
	}

	/** Carries every wave on by what can be done now. */
	async run(): Promise<void> {
		for (const [key, wave] of this.parts.getWaves()) await this.advance(this.use(key, wave))
	}

	/** Whether a wave is emptying the machine or has taken it down. */
	isReserved(machine: string): boolean {
		for (const row of this.rows.values()) {
			if (row.closing.has(machine) || row.down.has(machine)) return true
		}
		return false
	}

	private use(key: string, wave: Wave): WaveRow {
		const known = this.rows.get(key)
		if (known) return known
		const kept = this.parts.getProgress(key)
		const ordered = kept?.ordered ?? []
		const done = new Set(kept?.done)
		const row: WaveRow = {
			key,
			wave,
			ordered: new Set(ordered),
			uncertain: new Set(ordered.filter((machine) => !done.has(machine))),
			done,
			down: new Map(),
			closing: new Map(),
			receivedAt: kept?.receivedAt ?? this.context.getWallTime(),
			reported: kept?.reported ?? 'nothing',
		}
		this.rows.set(key, row)
		return row
	}

	private async advance(row: WaveRow): Promise<void> {
		if (row.reported === 'completed' || this.stopped) return
		if (row.reported === 'nothing' && (await this.parts.report(row.key, 'running'))) {
			row.reported = 'running'
			this.record(row)
		}
		this.noteReturned(row)
		this.noteGone(row)
		const open = row.wave.machines.filter((machine) => !row.done.has(machine))
		if (open.length === 0) {
			await this.complete(row)
			return
		}
		this.closeNext(row, open)
		for (const machine of [...row.closing.keys()]) await this.tryMaintain(row, machine)
	}

	private async complete(row: WaveRow): Promise<void> {
		if (!(await this.parts.report(row.key, 'completed'))) return
		row.reported = 'completed'
		this.record(row)
		this.context.events.info('wave-completed', { wave: row.wave.number, machines: row.done.size })
	}

	private noteReturned(row: WaveRow): void {
		const { inventory } = this.parts
		for (const [machine, orderedAt] of row.down) {
			if (inventory.listedAt < orderedAt + MINIMUM_DOWN_TIME) continue
			if (this.find(machine)?.state === 'up') row.down.delete(machine)
		}
		for (const machine of row.wave.machines) {
			if (this.find(machine)?.state !== 'maintenance' || row.down.has(machine)) continue
			row.down.set(machine, inventory.listedAt)
		}
	}

	/** A machine that the platform no longer lists needs no maintenance. */
	private noteGone(row: WaveRow): void {
		for (const machine of row.wave.machines) {
			if (row.done.has(machine) || this.find(machine)) continue
			row.done.add(machine)
			row.closing.delete(machine)
			row.down.delete(machine)
			this.context.events.info('wave-machine-gone', { wave: row.wave.number, machine })
		}
	}

	/** Empties the machines whose turn comes next. */
	private closeNext(row: WaveRow, open: readonly string[]): void {
		const limit = row.wave.atOnce * (1 + EMPTIED_AHEAD)
		const backends = new Map<BackendRow, string>()
		for (const machine of open) {
			if (row.closing.has(machine) || this.find(machine)?.state !== 'up') continue
			if (this.parts.isArriving(machine)) continue
			const backend = this.parts.inventory.getBackend(machine)
			if (backend) backends.set(backend, machine)
			// Nothing of ours runs on a machine without a registered server.
			else if (row.closing.size < limit) this.close(row, machine, undefined)
		}
		const closing = new Map<string, number>()
		for (const backend of sortByDisruptionCost([...backends.keys()])) {
			if (row.closing.size >= limit) return
			const { service } = backend
			const others = closing.get(service) ?? 0
			if (backend.cordoned || !this.isTimeFor(row, service, others)) continue
			closing.set(service, others + 1)
			this.close(row, backends.get(backend) ?? '', backend)
		}
	}

	private close(row: WaveRow, machine: string, backend: BackendRow | undefined): void {
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
	private isTimeFor(row: WaveRow, service: string, others: number): boolean {
		const elapsed = this.context.getWallTime() - row.receivedAt
		const patient = row.wave.deadline * MILLISECONDS_PER_SECOND * PATIENT_SHARE
		return elapsed > patient || this.parts.getSlack(service) > others
	}

	private async tryMaintain(row: WaveRow, machine: string): Promise<void> {
		const { events, timers, token } = this.context
		const backend = this.parts.inventory.getBackend(machine)
		if (row.down.size >= row.wave.atOnce || this.isStopped()) return
		if (!this.parts.inventory.isSettled(machine)) return
		if (backend && !backend.cordoned) {
			// Its server has registered since the machine was chosen: it has to be emptied first.
			this.close(row, machine, backend)
			return
		}
		if (backend && !this.isEmptied(backend, row.closing.get(machine) ?? 0)) return
		if (backend && !canDisruptBackend(backend)) return
		row.down.set(machine, timers.now())
		row.ordered.add(machine)
		this.record(row)
		if (!(await this.waitForDurability()) || !this.context.mayAct()) {
			row.down.delete(machine)
			return
		}
		const result = await this.parts.operator.maintain(machine, row.wave.number, token)
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
		if (result.kind === 'done') this.noteBegun(row, machine, backend)
		else if (result.kind === 'refused') this.noteRefused(row, machine, result.reason)
	}

	private isEmptied(backend: BackendRow, since: number): boolean {
		if (this.context.timers.now() - since > MAXIMUM_EMPTYING_TIME) return true
		for (const task of backend.tasks.values()) if (!task.step.lasting) return false
		return true
	}

	private noteBegun(row: WaveRow, machine: string, backend: BackendRow | undefined): void {
		row.done.add(machine)
		row.closing.delete(machine)
		row.down.set(machine, this.context.timers.now())
		this.record(row)
		if (!backend) return
		// Only a first order is sure to have ended what ran: a repeat may have changed nothing.
		if (row.uncertain.has(machine)) {
			backend.cordoned = false
			return
		}
		backend.registered = false
		this.parts.ledger.endLostRuns(backend, 'machine taken down for maintenance')
	}

	private noteRefused(row: WaveRow, machine: string, reason: string): void {
		row.down.delete(machine)
		if (reason === 'fence') this.context.endTerm(`maintenance of ${machine} refused: fence`)
		if (reason !== 'wave') return
		row.done.add(machine)
		row.closing.delete(machine)
		const backend = this.parts.inventory.getBackend(machine)
		if (backend) backend.cordoned = false
	}

	private record(row: WaveRow): void {
		const { key, ordered, done, receivedAt } = row
		this.parts.writer.markRecordChanged(key, () => {
			const { reported } = row
			return JobRecords.createWaveProgress(key, {
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
			this.context.timers.after(MAXIMUM_DURABILITY_WAIT, () => {
				resolve(false)
			})
			this.parts.writer.whenDurable(() => {
				resolve(true)
			})
		})
	}

	private isStopped(): boolean {
		return this.stopped
	}

	private find(machine: string): Machine | undefined {
		return this.parts.inventory.get(machine)
	}
}
