import type { JobId } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { ReplicaRow } from '../log/ReplicaRow.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { OwnerContext } from './OwnerContext.js'
import type { ProgressWriter } from './ProgressWriter.js'

/** Extra time for which expired jobs are kept, for late repeated requests, in milliseconds. */
const RETENTION_MARGIN = 30_000
/** Maximum number of jobs dropped at once, so that few records of placements wait behind them. */
const MAXIMUM_JOBS_PER_BATCH = 200
/** Timeout of one append, in milliseconds. */
const APPEND_TIMEOUT = 900

/**
 * Drops the records of jobs that finished long ago. This bounds the size of the log and of the
 * replica in each instance.
 *
 * @public
 */
export class JobRetention {
	private isDropping = false

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly log: MetadataLog
			readonly writer: ProgressWriter
			readonly replica: JobReplica
			readonly intake: readonly StreamFollower[]
			/** Returns how long the state of a finished job can be queried, in milliseconds. */
			readonly getRetentionTime: () => number
		}
	) {}

	/** Drops expired jobs, unless an earlier call is still doing so. */
	async dropExpired(): Promise<void> {
		if (this.isDropping) return
		this.isDropping = true
		const expired = [...this.options.replica.all]
			.filter((row) => this.isExpired(row))
			.map((row) => row.id)
		for (let start = 0; start < expired.length; start += MAXIMUM_JOBS_PER_BATCH) {
			if (!(await this.dropJobs(expired.slice(start, start + MAXIMUM_JOBS_PER_BATCH)))) break
			await this.waitForDurability()
		}
		this.isDropping = false
	}

	private waitForDurability(): Promise<void> {
		return new Promise((resolve) => {
			this.options.writer.whenDurable(resolve)
		})
	}

	private isExpired({ snapshot }: ReplicaRow): boolean {
		if (snapshot?.finishedAt === undefined) return false
		if (snapshot.tasks.some((task) => task.phase === 'placed')) return false
		return (
			this.context.getWallTime() - snapshot.finishedAt >
			this.options.getRetentionTime() + RETENTION_MARGIN
		)
	}

	/**
	 * Drops the intake records first, because progress without its job starts nothing. Resolves to
	 * whether the jobs were dropped.
	 */
	private async dropJobs(ids: readonly JobId[]): Promise<boolean> {
		const { log, intake, writer } = this.options
		const records = ids.flatMap((id) => JobRecords.createIntakeTombstones(id))
		for (const follower of intake) {
			const present = records.filter((record) => follower.has(record.key))
			if (present.length === 0) continue
			const result = await log.append(follower.stream, present, APPEND_TIMEOUT)
			if (result.kind === 'appended') continue
			this.context.events.warn('jobs-not-dropped', { stream: follower.stream, ...result })
			return false
		}
		for (const id of ids) {
			writer.markRecordChanged(id, () => ({ key: id, value: undefined }))
			this.context.jobs.remove(id)
		}
		this.context.events.info('jobs-dropped', { count: ids.length })
		return true
	}
}
