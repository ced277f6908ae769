import type { BackendId, BackendRow, TaskRow } from '@mastichead/core'
import { getCrashSuspects } from '@mastichead/core'
import type { MachineOrder } from '../machines/MachineOrder.js'
import type { OwnerContext } from './OwnerContext.js'
import type { ProcessEndCause } from './ProcessEndCause.js'

/** Time from an order for a machine in which it may end the process there, in milliseconds. */
const ORDER_EFFECT_TIME = 15_000
/** Maximum number of tasks that one line names. */
const MAXIMUM_LOGGED_TASKS = 8

/**
 * Tells crashes of backend servers from other ends of their processes, and marks the tasks that may have
 * caused a crash. The crash is counted when the run ends.
 *
 * @internal
 */
export class CrashTracker {
	/** Process of each backend server whose end has been handled, by the start of the process. */
	private readonly endedProcesses = new Map<BackendId, number>()

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			/** Returns the latest recorded order for a machine. */
			readonly getMachineOrder: (machine: string) => MachineOrder | undefined
			/** Returns the start of a server's process that earlier owners have recorded, if any. */
			readonly getRecordedIncarnation: (id: BackendId) => number | undefined
		}
	) {}

	/**
	 * Handles evidence that the process of a backend server has ended. Further evidence about the same
	 * process has no effect.
	 *
	 * @param incarnation - start of the process that ended, in milliseconds since 1970; 0 if unknown
	 * @param runs - the tasks placed there whose runs ended with the process
	 */
	handleProcessEnd(
		row: BackendRow,
		incarnation: number,
		evidence: string,
		runs: readonly TaskRow[]
	): void {
		if (this.endedProcesses.get(row.id) === incarnation) return
		this.endedProcesses.set(row.id, incarnation)
		const cause = this.getCause(row, incarnation)
		const { id, machine } = row
		const suspects = cause === 'crash' ? markSuspects(runs) : []
		this.context.metrics.count('backend_process_ends', cause)
		this.context.events.info('backend-process-ended', {
			backend: id,
			machine,
			incarnation,
			evidence,
			cause,
			runs: runs.length,
			suspects: suspects.length,
			tasks: suspects.slice(0, MAXIMUM_LOGGED_TASKS).map(({ id }) => id),
		})
	}

	/** Returns the start of the latest known process of a backend server; 0 if unknown. */
	getIncarnation(row: BackendRow): number {
		return row.incarnation || (this.options.getRecordedIncarnation(row.id) ?? 0)
	}

	/** Forgets a backend server that has left. */
	remove(id: BackendId): void {
		this.endedProcesses.delete(id)
	}

	private getCause(row: BackendRow, incarnation: number): ProcessEndCause {
		if (row.draining) return 'drain'
		if (this.isMachineOrdered(row.machine, incarnation)) return 'machine-order'
		return row.contactLoss === 'silence' ? 'unseen' : 'crash'
	}

	/** Whether an order for the machine may have ended a process. */
	private isMachineOrdered(machine: string, incarnation: number): boolean {
		const order = this.options.getMachineOrder(machine)
		if (!order || order.recordedAt < incarnation) return false
		return this.context.getWallTime() - order.recordedAt < ORDER_EFFECT_TIME
	}
}

function markSuspects(runs: readonly TaskRow[]): readonly TaskRow[] {
	const { suspects, suspicion } = getCrashSuspects(runs)
	for (const task of suspects) task.crashSuspicion = suspicion
	return suspects
}
