import type { BackendRow } from '../BackendRow.js'
import type { StartActivity } from './StartActivity.js'
import type { TaskRow } from '../TaskRow.js'
import { getStartActivity } from './getStartActivity.js'

/** Largest share of a service's usable servers that are used for tasks on probation at once. */
const MAXIMUM_SHARE = 0.5
/** Preference for a server that is used for tasks of the same job already, as a number of tasks there. */
const OWN_SERVER_BONUS = 1_000

/**
 * Keeps the starts of tasks that may have crashed backend servers apart from those of other jobs, in one
 * plan: such a task is started where no other job has just been started, and no other job is started beside
 * it until it has survived its start. A further crash then has one job to blame.
 *
 * @internal
 */
export class ProbationPlan {
	private readonly activities = new Map<BackendRow, StartActivity>()
	/** Servers on which nothing is started until a task on probation can be. */
	private readonly awaited = new Set<BackendRow>()

	/** Begins the next plan. */
	clear(): void {
		this.activities.clear()
		this.awaited.clear()
	}

	/** Whether a task may be started on a backend server, as far as other starts there are concerned. */
	allows(task: TaskRow, backend: BackendRow): boolean {
		const { jobs, hasSuspects } = this.getActivity(backend)
		const isSuspect = task.isSuspected
		if (!isSuspect && this.awaited.has(backend)) return false
		if (jobs.size === 0) return true
		if (!isSuspect && !hasSuspects) return true
		return jobs.size === 1 && jobs.has(task.job)
	}

	/** Returns how well a backend server suits a task that may crash it: it is to harm few others. */
	getScore(task: TaskRow, backend: BackendRow): number {
		return (this.isUsedFor(task, backend) ? OWN_SERVER_BONUS : 0) - backend.tasks.size
	}

	/** Records that the tasks of a backend server have changed. */
	update(backend: BackendRow): void {
		this.activities.delete(backend)
	}

	/** Whether a server of a service may be used for a task on probation, or is already for its job. */
	mayUse(task: TaskRow, backend: BackendRow, usable: readonly BackendRow[]): boolean {
		if (this.isUsedFor(task, backend)) return true
		const inUse = usable.filter(
			(other) =>
				other !== backend && (this.awaited.has(other) || this.getActivity(other).hasSuspects)
		)
		return inUse.length < Math.max(1, usable.length * MAXIMUM_SHARE)
	}

	/**
	 * Starts nothing on one of the servers until its latest start has been survived. It is the one with the
	 * earliest such start, so that the next plans choose the same one.
	 */
	awaitOne(task: TaskRow, hosts: readonly BackendRow[], usable: readonly BackendRow[]): void {
		let best: BackendRow | undefined
		let earliest = Infinity
		for (const backend of hosts) {
			const { latestStart, hasSuspects } = this.getActivity(backend)
			if (this.awaited.has(backend) || hasSuspects || (best && latestStart >= earliest)) continue
			best = backend
			earliest = latestStart
		}
		if (best && this.mayUse(task, best, usable)) this.awaited.add(best)
	}

	private isUsedFor(task: TaskRow, backend: BackendRow): boolean {
		const { jobs, hasSuspects } = this.getActivity(backend)
		return hasSuspects && jobs.has(task.job)
	}

	private getActivity(backend: BackendRow): StartActivity {
		const known = this.activities.get(backend)
		if (known) return known
		const activity = getStartActivity(backend)
		this.activities.set(backend, activity)
		return activity
	}
}
