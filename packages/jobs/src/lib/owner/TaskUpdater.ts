import type { BackendHealth, BackendRow, JobRow, RunEnding, TaskRow } from '@mastichead/core'
import { applyRunEnding, updateJobState } from '@mastichead/core'
import type { OwnerContext } from './OwnerContext.js'
import type { ProgressWriter } from './ProgressWriter.js'

/** Attempts of a task whose queue is no longer configured. */
const DEFAULT_ATTEMPTS = 1

/**
 * Carries out every change of a task in the owner's tables, and marks what has to be made durable.
 *
 * @public
 */
export class TaskUpdater {
	/**
	 * @param stopTask - called for each task that still runs after its job reached a final state
	 * @param replan - called when something may be placed anew
	 * @param health - told how runs end
	 */
	constructor(
		private readonly context: OwnerContext,
		private readonly writer: ProgressWriter,
		private readonly stopTask: (task: TaskRow) => void,
		private readonly replan: () => void,
		private readonly health: BackendHealth
	) {}

	/** Takes note that a task's present run has ended. */
	endRun(task: TaskRow, ending: RunEnding, checkpoint: string, reason: string): void {
		const { backends, events, metrics, getConfiguration } = this.context
		const queue = getConfiguration().queues.get(task.job.job.queue)
		const backend = task.backend
		const attempts = queue?.maximumAttempts ?? DEFAULT_ATTEMPTS
		this.updateHealth(task, ending)
		applyRunEnding(task, ending, checkpoint, attempts, backends)
		metrics.count('run_ends', ending)
		const { id, attempt, phase, failures } = task
		events.info('run-ended', { task: id, attempt, backend, ending, reason, phase, failures })
		this.updateJob(task.job)
		this.replan()
	}

	private updateHealth(task: TaskRow, ending: RunEnding): void {
		const { backends, events, timers } = this.context
		const row = task.backend === undefined ? undefined : backends.get(task.backend)
		if (!row) return
		if (ending === 'done') this.health.recordRunSuccess(row.id)
		if (ending !== 'failed' || !this.health.recordRunFailure(row, task.job.job.id, timers.now()))
			return
		const duration = row.avoidedUntil - timers.now()
		events.warn('backend-avoided', { backend: row.id, reason: 'runs fail', duration })
	}

	/** Brings the job's state up to date and stops what must no longer run. */
	updateJob(row: JobRow): void {
		const before = row.state
		const left = updateJobState(row, this.context.getWallTime())
		this.writer.markJobChanged(row)
		if (row.state !== before) this.reportState(row)
		for (const task of left) this.stopTask(task)
	}

	/** The caller has cancelled the job. */
	cancelJob(row: JobRow): void {
		if (row.cancelled) return
		row.cancelled = true
		this.updateJob(row)
	}

	/** A backend server no longer runs anything that was placed on it. */
	endLostRuns(backend: BackendRow, reason: string): void {
		for (const task of [...backend.tasks.values()]) {
			// An order that has not been answered yet is settled by its answer.
			if (task.orderState === 'recorded' || task.orderState === 'sent') continue
			this.endRun(task, 'lost', '', reason)
		}
	}

	private reportState(row: JobRow): void {
		const { events, metrics, jobs, getWallTime } = this.context
		const { id, queue, team, acceptedAt } = row.job
		const age = getWallTime() - acceptedAt
		events.info('job-state', { job: id, queue, team, state: row.state, age })
		metrics.count('job_states', row.state)
		if (row.finishedAt === undefined) return
		jobs.markFinished(row)
		metrics.observe('job_duration', age)
	}
}
