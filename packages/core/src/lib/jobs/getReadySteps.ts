import type { JobRow } from './JobRow.js'
import type { ReadyStep } from './ReadyStep.js'
import type { TaskRow } from './TaskRow.js'

/**
 * The steps of a job that can be started now.
 *
 * @param now - instant of the owner's monotonic clock, in milliseconds
 * @param wallTime - milliseconds since 1970
 * @public
 */
export function getReadySteps(row: JobRow, now: number, wallTime: number): ReadyStep[] {
	const runs: ReadyStep[] = []
	const { job } = row
	const widths = job.steps.map((step) => step.count)
	const width = widths.reduce((sum, count) => sum + count, 0)
	const occurrences = Math.max(1, job.times)
	for (let occurrence = 0; occurrence < occurrences; occurrence += 1) {
		if (job.times > 0 && job.startAt + occurrence * job.interval > wallTime) break
		const tasks = row.tasks.slice(occurrence * width, (occurrence + 1) * width)
		runs.push(...getReadyStepsOfOccurrence(row, occurrence, tasks, now))
	}
	return runs
}

function getReadyStepsOfOccurrence(
	row: JobRow,
	occurrence: number,
	tasks: readonly TaskRow[],
	now: number
): ReadyStep[] {
	const runs: ReadyStep[] = []
	const finished: boolean[] = []
	let start = 0
	for (const [stepNumber, step] of row.job.steps.entries()) {
		const members = tasks.slice(start, start + step.count)
		start += step.count
		finished.push(members.every((task) => task.phase === 'done'))
		if (!step.dependsOn.every((earlier) => finished[earlier])) continue
		const waiting = members.filter((task) => task.phase === 'pending' && task.notBefore <= now)
		if (waiting.length === 0) continue
		if (step.gang && waiting.length < members.length) continue
		runs.push({ row, step, stepNumber, occurrence, members, pending: waiting })
	}
	return runs
}
