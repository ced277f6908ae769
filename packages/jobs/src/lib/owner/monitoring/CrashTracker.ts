import type {
	BackendId,
	BackendRow,
	CrashSuspect,
	JobRow,
	TaskRow,
	UnexplainedLoss,
} from '@mastichead/core'
import { MAXIMUM_CRASHES, explainLoss, getCrashSuspects } from '@mastichead/core'
import type { MachineOrder } from '../../machines/MachineOrder.js'
import type { BackendRegistration } from '../../ports/BackendRegistration.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
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
	/** Processes that earlier owners have placed tasks on, by their starts. */
	private readonly recordedProcesses = new Map<BackendId, number>()
	/** Tasks with unexplained losses, by the machine that the server ran on. */
	private readonly unexplained = new Map<string, Set<TaskRow>>()

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			/** Returns the latest recorded order for a machine. */
			readonly getMachineOrder: (machine: string) => MachineOrder | undefined
			/** Called when the end of a server's process has been handled. */
			readonly onProcessEnd: (id: BackendId) => void
			/** Called for each job whose tasks have changed. */
			readonly updateJob: (job: JobRow) => void
		}
	) {}

	/** Takes over the registrations that earlier owners have recorded. */
	begin(registrations: Iterable<BackendRegistration>): void {
		for (const { id, incarnation, earlierIncarnation } of registrations)
			this.recordedProcesses.set(id, earlierIncarnation ?? incarnation)
	}

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
		const suspects = cause === 'crash' ? markSuspects(row, runs) : []
		this.context.metrics.count('backend_process_ends', cause)
		this.context.events.info('backend-process-ended', {
			backend: id,
			machine,
			incarnation,
			evidence,
			cause,
			runs: runs.length,
			suspects: suspects.length,
			tasks: suspects.slice(0, MAXIMUM_LOGGED_TASKS).map(({ task }) => task.id),
		})
		this.options.onProcessEnd(id)
	}

	/**
	 * Handles that the leases on a server have expired before it was known what became of it. If it had
	 * closed its connections, a crash is not ruled out, and shows once its machine is heard of.
	 *
	 * @param runs - the tasks placed there whose runs are over
	 */
	handleLeasesExpired(row: BackendRow, runs: readonly TaskRow[]): void {
		const incarnation = this.getIncarnation(row)
		if (row.machine === '' || incarnation === 0) return
		if (row.contactLoss !== 'closed' || this.getCause(row, incarnation) !== 'crash') return
		for (const { task, suspicion } of getCrashSuspects(runs, row.unreadRuns.size > 0)) {
			const isGivenUp = suspicion === 'sole' && task.crashes >= MAXIMUM_CRASHES
			// Its crashes before are enough, whatever became of this server.
			if (isGivenUp) task.crashSuspicion = suspicion
			else this.addLoss(task, { machine: row.machine, incarnation, suspicion })
		}
	}

	/** Takes over the unexplained loss of a task that an earlier owner has recorded. */
	restore(task: TaskRow): void {
		if (task.unexplainedLoss) this.addLoss(task, task.unexplainedLoss)
	}

	/** Explains losses on the machine of a server that was listed: its process may be the one from before. */
	handleListed({ machine, id }: BackendRow, incarnation: number): void {
		const tasks = this.unexplained.get(machine)
		if (!tasks) return
		this.unexplained.delete(machine)
		const jobs = new Set<JobRow>()
		let crashes = 0
		for (const task of tasks) {
			const loss = task.unexplainedLoss
			if (loss?.machine !== machine) continue
			const isReplaced = loss.incarnation !== incarnation
			const isCrash = isReplaced && !this.isMachineOrdered(machine, loss.incarnation)
			explainLoss(task, isCrash)
			if (isCrash) crashes += 1
			jobs.add(task.job)
		}
		this.context.events.info('losses-explained', {
			backend: id,
			machine,
			incarnation,
			tasks: tasks.size,
			crashes,
		})
		for (const job of jobs) if (job.finishedAt === undefined) this.options.updateJob(job)
	}

	private addLoss(task: TaskRow, loss: UnexplainedLoss): void {
		task.unexplainedLoss = loss
		const tasks = this.unexplained.get(loss.machine) ?? new Set()
		this.unexplained.set(loss.machine, tasks.add(task))
	}

	/** Returns the start of the latest known process of a backend server; 0 if unknown. */
	getIncarnation(row: BackendRow): number {
		return row.incarnation || (this.recordedProcesses.get(row.id) ?? 0)
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

function markSuspects(
	{ unreadRuns }: BackendRow,
	runs: readonly TaskRow[]
): readonly CrashSuspect[] {
	const suspects = getCrashSuspects(runs, unreadRuns.size > 0)
	for (const { task, suspicion } of suspects) task.crashSuspicion = suspicion
	return suspects
}
