import type { BackendRow, JobRow, JobState, RunEnding, RunTimes, TaskRow } from '@mastichead/core'
import { applyRunEnding, getQueueRules, isFinalState, updateJobState } from '@mastichead/core'
import type { HealthManager } from './HealthManager.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import type { ProgressWriter } from '../terms/ProgressWriter.js'

/** Maximum attempts of a task of whose queue no rules are known. */
const DEFAULT_MAXIMUM_ATTEMPTS = 1
/**
 * How long the changes of a job's tasks may wait for further ones, in milliseconds, unless it
 * has just ended. Shorter than the pause between two listings, so that ends are durable, and can be
 * acknowledged, with the next one.
 */
const TASK_RECORD_DELAY = 40

/**
 * Applies state changes to tasks and jobs in the owner's tables and marks them to be made durable.
 *
 * @public
 */
export class TaskUpdater {
	/**
	 * @param stopTask - called for each task that still runs when its job has reached a final state
	 * @param replan - called when tasks or capacity may have become available for placement
	 * @param health - records the results of runs per backend server
	 * @param runTimes - learns from the runs that end successfully
	 */
	constructor(
		private readonly context: OwnerContext,
		private readonly writer: ProgressWriter,
		private readonly stopTask: (task: TaskRow) => void,
		private readonly replan: () => void,
		private readonly health: HealthManager,
		private readonly runTimes: RunTimes
	) {}

	/** Records the end of a task's current run. */
	endRun(task: TaskRow, ending: RunEnding, checkpoint: string, reason: string): void {
		const { backends, events, metrics, timers, getConfiguration } = this.context
		const queue = getQueueRules(task.job.job, getConfiguration())
		const backend = task.backend
		const age = Math.max(0, Math.round(timers.now() - task.startedAt))
		const maximumAttempts = queue?.maximumAttempts ?? DEFAULT_MAXIMUM_ATTEMPTS
		this.health.recordRunEnd(task, ending)
		if (ending === 'done') this.recordRunTime(task)
		applyRunEnding(task, ending, checkpoint, maximumAttempts, backends)
		metrics.count('run_ends', ending)
		const { id, attempt, phase, failures, crashes } = task
		const details = { task: id, attempt, backend, ending, reason, age, phase, failures, crashes }
		events.info('run-ended', details)
		this.updateJob(task.job)
		this.replan()
	}

	/** Runs that went on from a checkpoint, or that an earlier owner started, do not show the run time. */
	private recordRunTime({ job, step, checkpoint, startedAt, isStartTimed }: TaskRow): void {
		if (checkpoint !== '' || !isStartTimed) return
		this.runTimes.record(job.job, step, this.context.timers.now() - startedAt)
	}

	/** Updates a job's state and stops the tasks that must no longer run. */
	updateJob(row: JobRow): void {
		const previousState = row.state
		const tasksToStop = updateJobState(row, this.context.getWallTime())
		const isStateChanged = row.state !== previousState
		const hasJustEnded = isStateChanged && isFinalState(row.state)
		this.writer.markJobChanged(row, hasJustEnded ? 0 : TASK_RECORD_DELAY)
		if (isStateChanged) this.reportState(row, previousState)
		for (const task of tasksToStop) this.stopTask(task)
	}

	/**
	 * Records that a backend server has begun a run of a job: its answer to the start order or a listing shows
	 * it. A placement does not, since its order may be refused or lost.
	 */
	recordBegin(row: JobRow): void {
		if (row.begun || row.finishedAt !== undefined) return
		row.begun = true
		this.updateJob(row)
	}

	/** Stops the tasks of a job whose final state an earlier owner has recorded. Records nothing. */
	settleJob(row: JobRow): void {
		for (const task of updateJobState(row, this.context.getWallTime())) this.stopTask(task)
	}

	/** Cancels a job at its caller's request. */
	cancelJob(row: JobRow): void {
		if (row.cancelled) return
		row.cancelled = true
		this.updateJob(row)
	}

	/**
	 * Ends the runs on a backend server that no longer runs them.
	 *
	 * @param isOver - whether a task's run is over; all are by default
	 */
	endLostRuns(
		backend: BackendRow,
		reason: string,
		isOver: (task: TaskRow) => boolean = () => true
	): void {
		for (const task of [...backend.tasks.values()]) {
			if (!isOver(task)) continue
			// The answer to an order in flight decides about its task.
			if (task.orderState === 'recorded' || task.orderState === 'sent') continue
			this.endRun(task, 'lost', '', reason)
		}
	}

	private reportState(row: JobRow, previousState: JobState): void {
		const { events, metrics, jobs, getWallTime } = this.context
		const { id, queue, team, acceptedAt } = row.job
		const age = getWallTime() - acceptedAt
		events.info('job-state', { job: id, queue, team, state: row.state, age })
		metrics.count('job_states', row.state)
		if (previousState === 'queued' && row.state === 'running') metrics.observe('job_wait', age)
		if (row.finishedAt === undefined) return
		jobs.markFinished(row)
		metrics.observe('job_duration', age)
	}
}
