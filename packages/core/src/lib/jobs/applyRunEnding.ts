import type { BackendTable } from './BackendTable.js'
import type { RunEnding } from './RunEnding.js'
import type { TaskRow } from './TaskRow.js'

/**
 * Takes note that the present run of a placed task has ended: frees its place and says what
 * follows for the task. The job's state is brought up to date by `settleJob`.
 *
 * @param maximumAttempts - ends `failed` after which the task has failed
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
	task.availableSince = undefined
	task.percent = 0
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
	task.phase = exhausted ? 'failed' : 'pending'
}
