import type { JobRow } from './JobRow.js'
import type { TaskRow } from './TaskRow.js'

/**
 * Updates a job's state from its tasks. If the state is final, drops the pending tasks.
 *
 * @param wallTime - milliseconds since 1970
 * @returns the placed tasks of a job in a final state, which must be stopped
 * @public
 */
export function updateJobState(row: JobRow, wallTime: number): TaskRow[] {
	completeGangs(row)
	if (row.finishedAt === undefined) {
		row.state = getState(row)
		if (row.state === 'queued' || row.state === 'running') return []
		row.finishedAt = wallTime
	}
	const running: TaskRow[] = []
	for (const task of row.tasks) {
		if (task.phase === 'pending') task.phase = 'dropped'
		if (task.phase === 'placed') running.push(task)
	}
	return running
}

function getState(row: JobRow): JobRow['state'] {
	if (row.cancelled) return 'cancelled'
	if (row.tasks.some((task) => task.phase === 'failed')) return 'failed'
	if (row.tasks.every((task) => task.phase === 'done')) return 'completed'
	return row.begun ? 'running' : 'queued'
}

/** Marks the pending members of a gang as done once one member is done. */
function completeGangs(row: JobRow): void {
	for (const task of row.tasks) {
		if (!task.step.gang || task.phase !== 'done') continue
		for (const member of row.tasks) {
			if (member.occurrence !== task.occurrence || member.step !== task.step) continue
			if (member.phase === 'pending') member.phase = 'done'
		}
	}
}
