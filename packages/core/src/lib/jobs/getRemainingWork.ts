import type { RemainingWork } from './RemainingWork.js'
import type { JobRow } from './JobRow.js'
import type { QueueRules } from './QueueRules.js'
import { defaultEstimate } from './defaultEstimate.js'
import { getCriticalPath } from './getCriticalPath.js'

const MILLICORES_PER_CORE = 1_000
/** Share of a running task that is taken to be left. */
const RUNNING_TASK_REMAINDER = 0.5

/**
 * Estimates what is left of one occurrence of a job.
 *
 * @public
 */
export function getRemainingWork(
	row: JobRow,
	occurrence: number,
	queue: QueueRules
): RemainingWork {
	const { job } = row
	const longest = getCriticalPath(job.steps, (step) => step.estimate || defaultEstimate)
	const begin = job.times > 0 ? job.startAt + occurrence * job.interval : job.acceptedAt
	const left = job.steps.map(() => 0)
	let work = 0
	for (const task of row.tasks) {
		if (task.occurrence !== occurrence || task.step.lasting) continue
		if (task.phase !== 'pending' && task.phase !== 'placed') continue
		const share = task.phase === 'placed' ? RUNNING_TASK_REMAINDER : 1
		const duration = (task.step.estimate || defaultEstimate) * share
		left[task.stepNumber] = Math.max(left[task.stepNumber] ?? 0, duration)
		if (!task.step.fills) work += duration * (task.step.needs.cpu / MILLICORES_PER_CORE)
	}
	return {
		row,
		dueAt: begin + queue.stretch * longest + queue.latencyAllowance,
		criticalPath: getCriticalPath(job.steps, (_step, stepNumber) => left[stepNumber] ?? 0),
		work,
	}
}
