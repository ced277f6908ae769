import type { RemainingWork } from './RemainingWork.js'
import type { JobRow } from './JobRow.js'
import type { QueueRules } from './QueueRules.js'
import { defaultEstimate } from './defaultEstimate.js'
import { getCriticalPath } from './getCriticalPath.js'

const MILLICORES_PER_CORE = 1_000
/** Share of a placed task's estimate that is assumed to remain. */
const RUNNING_TASK_REMAINDER = 0.5

/**
 * Estimates the remaining work and the due time of one occurrence of a job.
 *
 * @public
 */
export function getRemainingWork(
	row: JobRow,
	occurrence: number,
	queue: QueueRules
): RemainingWork {
	const { job } = row
	const fullCriticalPath = getCriticalPath(job.steps, (step) => step.estimate || defaultEstimate)
	const releasedAt = job.times > 0 ? job.startAt + occurrence * job.interval : job.acceptedAt
	const remainingByStep = job.steps.map(() => 0)
	let work = 0
	for (const task of row.tasks) {
		if (task.occurrence !== occurrence || task.step.lasting) continue
		if (task.phase !== 'pending' && task.phase !== 'placed') continue
		const remainder = task.phase === 'placed' ? RUNNING_TASK_REMAINDER : 1
		const duration = (task.step.estimate || defaultEstimate) * remainder
		remainingByStep[task.stepNumber] = Math.max(remainingByStep[task.stepNumber] ?? 0, duration)
		if (!task.step.fills) work += duration * (task.step.needs.cpu / MILLICORES_PER_CORE)
	}
	return {
		row,
		dueAt: releasedAt + queue.stretch * fullCriticalPath + queue.latencyAllowance,
		criticalPath: getCriticalPath(
			job.steps,
			(_step, stepNumber) => remainingByStep[stepNumber] ?? 0
		),
		work,
	}
}
