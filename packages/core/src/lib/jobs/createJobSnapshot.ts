import type { JobRow } from './JobRow.js'
import type { JobSnapshot } from './JobSnapshot.js'

/**
 * Takes what must last of a job. A final job needs no tasks: nothing of it is started again.
 *
 * @public
 */
export function createJobSnapshot(row: JobRow): JobSnapshot {
	const tasks: JobSnapshot['tasks'][number][] = []
	for (const [place, task] of row.tasks.entries()) {
		const untouched = task.phase === 'pending' && task.attempt === 0
		const settled = row.finishedAt !== undefined && task.phase !== 'placed'
		if (untouched || settled) continue
		tasks.push({
			place,
			phase: task.phase,
			attempt: task.attempt,
			failures: task.failures,
			backend: task.backend,
			checkpoint: task.checkpoint,
		})
	}
	return { state: row.state, begun: row.begun, finishedAt: row.finishedAt, tasks }
}
