import type { Job } from './Job.js'
import type { JobId } from './JobId.js'
import type { JobRow } from './JobRow.js'
import type { JobSnapshot } from './JobSnapshot.js'
import type { TaskId } from './TaskId.js'
import type { TaskRow } from './TaskRow.js'
import { createJobRow } from './createJobRow.js'

/**
 * Tracks the owner's jobs and their tasks.
 *
 * @public
 */
export class JobTable {
	private readonly rows = new Map<JobId, JobRow>()
	private readonly tasks = new Map<TaskId, TaskRow>()
	private readonly unfinished = new Set<JobRow>()

	/** Adds a job and returns its row, or returns the existing row. */
	add(job: Job, snapshot?: JobSnapshot): JobRow {
		const existing = this.rows.get(job.id)
		if (existing) return existing
		const row = createJobRow(job, snapshot)
		this.rows.set(job.id, row)
		for (const task of row.tasks) this.tasks.set(task.id, task)
		if (row.finishedAt === undefined) this.unfinished.add(row)
		return row
	}

	get(id: JobId): JobRow | undefined {
		return this.rows.get(id)
	}

	getTask(id: TaskId): TaskRow | undefined {
		return this.tasks.get(id)
	}

	/** Stops planning a job that has reached a final state. */
	markFinished(row: JobRow): void {
		this.unfinished.delete(row)
	}

	/** Removes a job and its tasks. */
	remove(id: JobId): void {
		const row = this.rows.get(id)
		if (!row) return
		this.rows.delete(id)
		this.unfinished.delete(row)
		for (const task of row.tasks) this.tasks.delete(task.id)
	}

	/** Jobs that are not in a final state. */
	get active(): ReadonlySet<JobRow> {
		return this.unfinished
	}

	get all(): IterableIterator<JobRow> {
		return this.rows.values()
	}
}
