import type { Job } from './Job.js'
import type { JobRow } from './JobRow.js'
import type { JobSnapshot } from './JobSnapshot.js'
import type { TaskRow } from './TaskRow.js'
import { isFinalState } from './isFinalState.js'

/**
 * Creates the row of a job and its tasks, with the progress from a snapshot if there is one.
 *
 * @public
 */
export function createJobRow(job: Job, snapshot?: JobSnapshot): JobRow {
	const row: JobRow = {
		job,
		tasks: [],
		state: snapshot?.state ?? 'queued',
		cancelled: snapshot?.state === 'cancelled',
		begun: snapshot?.begun ?? false,
		finishedAt: snapshot?.finishedAt,
	}
	const occurrences = Math.max(1, job.times)
	for (let occurrence = 0; occurrence < occurrences; occurrence += 1) {
		for (const [stepNumber, step] of job.steps.entries()) {
			for (let index = 0; index < step.count; index += 1) {
				row.tasks.push(createTaskRow(row, occurrence, stepNumber, index))
			}
		}
	}
	if (snapshot) restoreTasks(row, snapshot)
	return row
}

function createTaskRow(
	job: JobRow,
	occurrence: number,
	stepNumber: number,
	index: number
): TaskRow {
	const step = job.job.steps[stepNumber]
	if (!step) throw new Error(`job ${job.job.id} has no step ${stepNumber}`)
	return {
		id: `${job.job.id}.${occurrence}.${stepNumber}.${index}`,
		job,
		step,
		stepNumber,
		occurrence,
		index,
		phase: 'pending',
		attempt: 0,
		failures: 0,
		crashes: 0,
		isSuspected: false,
		crashSuspicion: undefined,
		unexplainedLoss: undefined,
		failedOn: undefined,
		backend: undefined,
		checkpoint: '',
		orderState: 'recorded',
		orderStateChangedAt: 0,
		startedAt: Infinity,
		isStartTimed: false,
		listedAt: -Infinity,
		stopping: false,
		interrupting: false,
		percent: 0,
		availableSince: undefined,
		notBefore: 0,
	}
}

function restoreTasks(row: JobRow, snapshot: JobSnapshot): void {
	if (isFinalState(snapshot.state)) {
		for (const task of row.tasks) task.phase = 'dropped'
	}
	for (const taskSnapshot of snapshot.tasks) {
		const task = row.tasks[taskSnapshot.place]
		if (!task) continue
		task.phase = taskSnapshot.phase
		task.attempt = taskSnapshot.attempt
		task.failures = taskSnapshot.failures
		task.crashes = taskSnapshot.crashes
		task.isSuspected = taskSnapshot.isSuspected
		task.unexplainedLoss = taskSnapshot.unexplainedLoss
		task.backend = taskSnapshot.backend
		task.checkpoint = taskSnapshot.checkpoint
		task.orderState = 'inherited'
	}
}
