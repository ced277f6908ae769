import type { JobRow } from './JobRow.js'
import type { JobSnapshot } from './JobSnapshot.js'
import type { RunUse } from './RunUse.js'
import type { TaskRow } from './TaskRow.js'

/**
 * Creates the snapshot of a job's progress for the log. Tasks of a finished job are left out unless
 * they still run, and checkpoints of done tasks, because none of these is started again.
 *
 * @public
 */
export function createJobSnapshot(row: JobRow): JobSnapshot {
	const tasks: JobSnapshot['tasks'][number][] = []
	for (const [place, task] of row.tasks.entries()) {
		const isUntouched = task.phase === 'pending' && task.attempt === 0
		const isSettled = row.finishedAt !== undefined && task.phase !== 'placed'
		if (isUntouched || isSettled) continue
		tasks.push({
			place,
			phase: task.phase,
			attempt: task.attempt,
			failures: task.failures,
			crashes: task.crashes,
			isSuspected: task.isSuspected,
			...(task.unexplainedLoss && { unexplainedLoss: task.unexplainedLoss }),
			backend: task.backend,
			checkpoint: task.phase === 'done' ? '' : task.checkpoint,
			...(task.phase === 'placed' && { use: getRunUse(task) }),
		})
	}
	return { state: row.state, begun: row.begun, finishedAt: row.finishedAt, tasks }
}

function getRunUse({ job, step, occurrence, stepNumber, index }: TaskRow): RunUse {
	const { needs, fills } = step
	return { occurrence, stepNumber, index, team: job.job.team, needs, fills }
}
