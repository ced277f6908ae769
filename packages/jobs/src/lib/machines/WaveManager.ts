import type { BackendRow } from '@mastichead/core'
import { getMaintenanceOrder, mayInterrupt } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { OwnerContext } from '../owner/OwnerContext.js'
import type { ProgressWriter } from '../owner/ProgressWriter.js'
import type { TaskLedger } from '../owner/TaskLedger.js'
import type { Machine } from '../ports/Machine.js'
import type { MachineOperator } from '../ports/MachineOperator.js'
import type { Wave } from '../ports/Wave.js'
import type { WaveProgress } from './WaveProgress.js'
import type { WaveRow } from './WaveRow.js'

/** Pause between two rounds, in milliseconds. */
const ROUND_PAUSE = 250
/** Time after which the list of machines is read again while a wave is under way. */
const LIST_INTERVAL = 900
/** An owner that has just begun orders nothing while an earlier one may have, in milliseconds. */
const TAKEOVER_PAUSE = 3_100
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
	private machines: readonly Machine[] = []
	private listedAt = -Infinity
	private stopped = false

	constructor(
		private readonly context: OwnerContext,
		private readonly parts: {
			readonly operator: MachineOperator
			readonly ledger: TaskLedger
			readonly getWaves: () => ReadonlyMap<string, Wave>
			readonly writer: ProgressWriter
			/** Tells the operator how far a wave is; resolves to whether that is durable. */
			readonly report: (key: string, state: 'running' | 'completed') => Promise<boolean>
			/** Progress that earlier owners have recorded. */
			readonly getProgress: (key: string) => WaveProgress | undefined
		}
	) {}

	start(): void {
		void this.run()
	}

	stop(): void {
		this.stopped = true
	}

	private async run(): Promise<void> {
		await this.sleep(TAKEOVER_PAUSE)
		while (!this.stopped) {
			for (const [key, wave] of this.parts.getWaves()) await this.advance(this.use(key, wave))
			await this.sleep(ROUND_PAUSE)
		}
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
		if (!(await this.readMachines())) return
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

	private async readMachines(): Promise<boolean> {
		const { timers, events } = this.context
		if (timers.now() - this.listedAt < LIST_INTERVAL) return true
		const machines = await this.parts.operator.list()
		if (!machines) {
			events.warn('machines-unreadable', { age: timers.now() - this.listedAt })
			return false
		}
		this.machines = machines
		this.listedAt = timers.now()
		return true
	}

	private noteReturned(row: WaveRow): void {
		for (const [machine, orderedAt] of row.down) {
			if (this.listedAt < orderedAt + MINIMUM_DOWN_TIME) continue
			if (this.find(machine)?.state === 'up') row.down.delete(machine)
		}
		for (const machine of this.machines) {
			if (machine.state !== 'maintenance' || !row.wave.machines.includes(machine.id)) continue
			if (!row.down.has(machine.id)) row.down.set(machine.id, this.listedAt)
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
			if (row.closing.has(machine)) continue
			const listed = this.find(machine)
			if (listed?.state !== 'up') continue
			const backend = this.context.backends.get(listed.backend)
			if (backend) backends.set(backend, machine)
			// Nothing of ours runs on a machine whose server never registered.
			else if (row.closing.size < limit) row.closing.set(machine, this.context.timers.now())
		}
		for (const backend of getMaintenanceOrder([...backends.keys()])) {
			if (row.closing.size >= limit) return
			backend.closing = true
			row.closing.set(backends.get(backend) ?? '', this.context.timers.now())
			const { id, tasks } = backend
			this.context.events.info('backend-closing', { backend: id, tasks: tasks.size })
		}
	}

	private async tryMaintain(row: WaveRow, machine: string): Promise<void> {
		const { events, timers, token, backends } = this.context
		const listed = this.find(machine)
		const backend = listed && backends.get(listed.backend)
		if (row.down.size >= row.wave.atOnce || this.stopped) return
		if (backend && !this.isEmptied(backend, row.closing.get(machine) ?? 0)) return
		if (backend && !mayInterrupt(backend)) return
		row.down.set(machine, timers.now())
		row.ordered.add(machine)
		this.record(row)
		if (!(await this.waitForDurability())) {
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
		if (this.stopped) return
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
			backend.closing = false
			return
		}
		backend.registered = false
		this.parts.ledger.loseAll(backend, 'machine taken down for maintenance')
	}

	private noteRefused(row: WaveRow, machine: string, reason: string): void {
		row.down.delete(machine)
		if (reason === 'fence') this.context.abandon(`maintenance of ${machine} refused: fence`)
		if (reason !== 'wave') return
		row.done.add(machine)
		row.closing.delete(machine)
		const backend = this.context.backends.get(this.find(machine)?.backend ?? '')
		if (backend) backend.closing = false
	}

	private record(row: WaveRow): void {
		const { key, ordered, done } = row
		this.parts.writer.touchRecord(key, () => {
			const { reported } = row
			return JobRecords.createWaveProgress(key, {
				ordered: [...ordered],
				done: [...done],
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

	private find(machine: string): Machine | undefined {
		return this.machines.find((candidate) => candidate.id === machine)
	}

	private sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			this.context.timers.after(duration, resolve)
		})
	}
}
