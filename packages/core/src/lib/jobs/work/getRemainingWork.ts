import type { RemainingWork } from './RemainingWork.js'
import type { JobRow } from '../JobRow.js'
import type { JobStep } from '../JobStep.js'
import type { QueueRules } from '../QueueRules.js'
import { EstimatedRunTimes } from '../lookahead/EstimatedRunTimes.js'
import type { RunTimes } from '../lookahead/RunTimes.js'
import { getCriticalPath } from './getCriticalPath.js'
import { getRemainingDuration } from './getRemainingDuration.js'
import { getRemainingTaskWork } from './getRemainingTaskWork.js'
import { getReservedResources } from '../placement/getReservedResources.js'

const MILLICORES_PER_CORE = 1_000

/**
 * Estimates the remaining work and the due time of one occurrence of a job.
 *
 * @public
 */
export function getRemainingWork(
	row: JobRow,
	occurrence: number,
	queue: QueueRules,
	runTimes: RunTimes = new EstimatedRunTimes()
): RemainingWork {
	const { job } = row
	const fullCriticalPath = getCriticalPath(job.steps, (step) => runTimes.getRunTime(job, step))
	const releasedAt = job.times > 0 ? job.startAt + occurrence * job.interval : job.acceptedAt
	const remainingByStep = job.steps.map(() => 0)
	const pendingByStep = job.steps.map(() => 0)
	let pendingWork = 0
	for (const task of row.tasks) {
		const { step, stepNumber, phase } = task
		if (task.occurrence !== occurrence || step.lasting) continue
		if (phase !== 'pending' && phase !== 'placed') continue
		const duration = getRemainingDuration(task, runTimes)
		remainingByStep[stepNumber] = Math.max(remainingByStep[stepNumber] ?? 0, duration)
		if (phase === 'placed') continue
		pendingByStep[stepNumber] = (pendingByStep[stepNumber] ?? 0) + 1
		pendingWork += getRemainingTaskWork(task, runTimes)
	}
	return {
		row,
		dueAt: releasedAt + queue.stretch * fullCriticalPath + queue.latencyAllowance,
		criticalPath: getCriticalPath(
			job.steps,
			(_step, stepNumber) => remainingByStep[stepNumber] ?? 0
		),
		pendingWork,
		readyCores: getReadyCores(job.steps, pendingByStep, remainingByStep),
	}
}

/** Returns the cores that the pending tasks of the steps that wait for no other step need. */
function getReadyCores(
	steps: readonly JobStep[],
	pendingByStep: readonly number[],
	remainingByStep: readonly number[]
): number {
	let millicores = 0
	for (const [stepNumber, step] of steps.entries()) {
		if (step.dependsOn.some((dependency) => (remainingByStep[dependency] ?? 0) > 0)) continue
		millicores += (pendingByStep[stepNumber] ?? 0) * getReservedResources(step).cpu
	}
	return millicores / MILLICORES_PER_CORE
}
