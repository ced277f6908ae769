import type { Job } from '../Job.js'
import type { JobId } from '../JobId.js'
import type { TaskRow } from '../TaskRow.js'
import { applyRunEnding } from '../applyRunEnding.js'
import { updateJobState } from '../updateJobState.js'
import { createTestTables } from './createTestTables.js'

/** Duration of one tick of the simulation, in milliseconds. */
const TICK = 20
/** Time from the end of a run until its listing has been read, in milliseconds. */
const LISTING_DELAY = 60
const MAXIMUM_FAILURES = 2

/**
 * Plans and runs jobs on a pool whose size does not change, in virtual time.
 *
 * @param jobs - jobs with the real durations of the tasks of each step, in milliseconds; they arrive at
 * `acceptedAt`
 * @param until - time at which the simulation ends, in milliseconds
 * @returns the time at which each finished job finished
 * @internal
 */
export function simulatePool(
	backendCount: number,
	jobs: readonly { readonly job: Job; readonly durations: readonly number[] }[],
	until: number
): Map<JobId, number> {
	const {
		jobs: table,
		backends,
		planner,
		configuration,
	} = createTestTables({ backends: backendCount })
	const durationsById = new Map(jobs.map(({ job, durations }) => [job.id, durations]))
	const finishedAt = new Map<JobId, number>()
	const waiting = jobs.toSorted((a, b) => a.job.acceptedAt - b.job.acceptedAt)
	const runs = new Map<TaskRow, number>()
	for (let now = 0; now < until; now += TICK) {
		for (const [task, endsAt] of runs) {
			if (endsAt > now) continue
			runs.delete(task)
			applyRunEnding(task, 'done', '', MAXIMUM_FAILURES, backends)
			updateJobState(task.job, now)
			if (task.job.finishedAt === undefined) continue
			finishedAt.set(task.job.job.id, now)
			table.markFinished(task.job)
		}
		while (waiting[0] && waiting[0].job.acceptedAt <= now) {
			const next = waiting.shift()
			if (next) table.add(next.job)
		}
		for (const { task } of planner.plan(configuration, now, now)) {
			const duration = durationsById.get(task.job.job.id)?.[task.stepNumber] ?? 0
			task.startedAt = now
			runs.set(task, now + duration + LISTING_DELAY)
			updateJobState(task.job, now)
		}
	}
	return finishedAt
}
