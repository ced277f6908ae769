import type { BackendRow } from '../BackendRow.js'
import type { Job } from '../Job.js'
import type { JobStep } from '../JobStep.js'
import type { Resources } from '../Resources.js'
import type { TaskRow } from '../TaskRow.js'
import { getReservedResources } from '../placement/getReservedResources.js'
import type { RunTimes } from './RunTimes.js'

/** Share of its age for which a task that runs longer than expected is expected to go on. */
const OVERDUE_SHARE = 0.25

interface ExpectedEnd {
	/** Time on the owner's monotonic clock, in milliseconds. */
	readonly at: number
	/** Resources that become free. */
	readonly freed: Resources
}

/**
 * When the tasks on backend servers are expected to end, during one plan.
 *
 * @public
 */
export class ExpectedEnds {
	private now = 0
	private readonly ends = new Map<BackendRow, ExpectedEnd[]>()
	private readonly busyUntil = new Map<BackendRow, number>()

	constructor(private readonly runTimes: RunTimes) {}

	/** Forgets the previous plan. */
	reset(now: number): void {
		this.now = now
		this.ends.clear()
		this.busyUntil.clear()
	}

	/** Returns when a task ends that is placed now. */
	getEnd(job: Job, step: JobStep): number {
		return this.now + this.runTimes.getRunTime(job, step)
	}

	/** Returns the ends of a server's tasks that do not last, the earliest first. */
	getEnds(backend: BackendRow): readonly ExpectedEnd[] {
		const known = this.ends.get(backend)
		if (known) return known
		const ends: ExpectedEnd[] = []
		for (const task of backend.tasks.values()) {
			if (task.step.lasting) continue
			ends.push({ at: this.getTaskEnd(task), freed: getReservedResources(task.step) })
		}
		ends.sort((a, b) => a.at - b.at)
		this.ends.set(backend, ends)
		return ends
	}

	/** Returns when a server's last task ends; Infinity if a lasting task keeps it busy. */
	getBusyUntil(backend: BackendRow): number {
		const known = this.busyUntil.get(backend)
		if (known !== undefined) return known
		let latest = this.now
		for (const task of backend.tasks.values())
			latest = Math.max(latest, task.step.lasting ? Infinity : this.getTaskEnd(task))
		this.busyUntil.set(backend, latest)
		return latest
	}

	/** Returns the share of a new task's run that lies after the end of all that the server runs now. */
	getOverhang(backend: BackendRow, job: Job, step: JobStep): number {
		if (step.lasting) return 0
		const runTime = this.runTimes.getRunTime(job, step)
		const busyTime = this.getBusyUntil(backend) - this.now
		return runTime > 0 ? Math.max(0, runTime - busyTime) / runTime : 0
	}

	/** Takes a changed set of tasks on a server into account. */
	update(backend: BackendRow): void {
		this.ends.delete(backend)
		this.busyUntil.delete(backend)
	}

	private getTaskEnd(task: TaskRow): number {
		const runTime = this.runTimes.getRunTime(task.job.job, task.step)
		// Its start order has not been sent yet.
		if (task.startedAt === Infinity) return this.now + runTime
		const age = Math.max(0, this.now - task.startedAt)
		return this.now + Math.max(runTime - age, age * OVERDUE_SHARE)
	}
}
