import type { JobRow } from './JobRow.js'
import type { TaskRow } from './TaskRow.js'

/**
 * Brings a job's state up to date with its tasks. When the state is final, waiting tasks are
 * dropped; the returned tasks still run and have to be stopped.
 *
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function updateJobState(row: JobRow, wallTime: number): TaskRow[] {
	completeGangs(row)
	if (row.tasks.some((task) => task.phase === 'placed')) row.begun = true
	if (row.finishedAt === undefined) {
		row.state = getState(row)
		if (row.state === 'queued' || row.state === 'running') return []
		row.finishedAt = wallTime
	}
	const left: TaskRow[] = []
	for (const task of row.tasks) {
		if (task.phase === 'pending') task.phase = 'dropped'
		if (task.phase === 'placed') left.push(task)
	}
	return left
}

function getState(row: JobRow): JobRow['state'] {
	if (row.cancelled) return 'cancelled'
	if (row.tasks.some((task) => task.phase === 'failed')) return 'failed'
	if (row.tasks.every((task) => task.phase === 'done')) return 'completed'
	return row.begun ? 'running' : 'queued'
}

/** One `done` among the members of a gang stands for all of them. */
function completeGangs(row: JobRow): void {
	for (const task of row.tasks) {
		if (!task.step.gang || task.phase !== 'done') continue
		for (const member of row.tasks) {
			if (member.occurrence !== task.occurrence || member.step !== task.step) continue
			if (member.phase === 'pending') member.phase = 'done'
		}
	}
}
