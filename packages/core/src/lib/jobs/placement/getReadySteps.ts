import type { JobRow } from '../JobRow.js'
import type { ReadyStep } from './ReadyStep.js'
import type { TaskRow } from '../TaskRow.js'

/**
 * Returns the steps of a job that have tasks to place now.
 *
 * @param now - time on the owner's monotonic clock, in milliseconds
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function getReadySteps(row: JobRow, now: number, wallTime: number): ReadyStep[] {
	const readySteps: ReadyStep[] = []
	const { job } = row
	if (job.times === 0) return getReadyStepsOfOccurrence(row, 0, row.tasks, now)
	const taskCounts = job.steps.map((step) => step.count)
	const tasksPerOccurrence = taskCounts.reduce((sum, count) => sum + count, 0)
	for (let occurrence = 0; occurrence < job.times; occurrence += 1) {
		if (job.startAt + occurrence * job.interval > wallTime) break
		const tasks = row.tasks.slice(
			occurrence * tasksPerOccurrence,
			(occurrence + 1) * tasksPerOccurrence
		)
		readySteps.push(...getReadyStepsOfOccurrence(row, occurrence, tasks, now))
	}
	return readySteps
}

function getReadyStepsOfOccurrence(
	row: JobRow,
	occurrence: number,
	tasks: readonly TaskRow[],
	now: number
): ReadyStep[] {
	const readySteps: ReadyStep[] = []
	const isStepDone: boolean[] = []
	let start = 0
	for (const [stepNumber, step] of row.job.steps.entries()) {
		const members = step.count === tasks.length ? tasks : tasks.slice(start, start + step.count)
		start += step.count
		isStepDone.push(members.every((task) => task.phase === 'done'))
		if (!step.dependsOn.every((dependency) => isStepDone[dependency])) continue
		const pending = members.filter((task) => task.phase === 'pending' && task.notBefore <= now)
		if (pending.length === 0) continue
		if (step.gang && pending.length < members.length) continue
		readySteps.push({ row, step, stepNumber, occurrence, members, pending })
	}
	return readySteps
}
