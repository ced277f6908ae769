import type { BackendTable } from './BackendTable.js'
import type { RunEnding } from './RunEnding.js'
import type { TaskRow } from './TaskRow.js'
import { getRunAge } from './health/getRunAge.js'
import { recordCrash } from './health/recordCrash.js'
import { STABLE_RUN_TIME } from './health/stableRunTime.js'

/**
 * Applies the end of a placed task's current run: releases its resources and sets its next phase.
 * The caller then updates the job with `updateJobState`.
 *
 * @param maximumAttempts - number of failed runs after which the task fails
 * @param checkpoint - latest checkpoint of the run; empty for none
 * @public
 */
export function applyRunEnding(
	task: TaskRow,
	ending: RunEnding,
	checkpoint: string,
	maximumAttempts: number,
	backends: BackendTable
): void {
	const { backend } = task
	backends.release(task)
	task.stopping = false
	task.interrupting = false
	task.availableSince = undefined
	task.percent = 0
	const crashesServers = updateCrashes(task, ending)
	if (checkpoint !== '') task.checkpoint = checkpoint
	if (ending === 'done' && !task.step.lasting) {
		task.phase = 'done'
		return
	}
	if (ending === 'failed') {
		task.failures += 1
		task.failedOn = backend
	}
	const exhausted = !task.step.lasting && task.failures >= maximumAttempts
	task.phase = exhausted || crashesServers ? 'failed' : 'pending'
}

/** Counts a crash under the task. Returns whether the task is given up for it. */
function updateCrashes(task: TaskRow, ending: RunEnding): boolean {
	const { crashSuspicion } = task
	task.crashSuspicion = undefined
	if (getRunAge(task) >= STABLE_RUN_TIME) {
		task.crashes = 0
		task.isSuspected = false
	}
	return ending === 'lost' && crashSuspicion !== undefined && recordCrash(task, crashSuspicion)
}
