import type { JobId } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { ReplicaRow } from '../log/ReplicaRow.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { OwnerContext } from './OwnerContext.js'
import type { ProgressWriter } from './ProgressWriter.js'

/** Kept beyond the time for which a state is told, for repeats that come late, in milliseconds. */
const RETENTION_MARGIN = 30_000
/** Jobs that are forgotten at once, and time for one append, in milliseconds. */
const MAXIMUM_JOBS_PER_RUN = 200
const APPEND_TIMEOUT = 900

/**
 * Drops the records of jobs that ended long ago, so that the log, and what each instance reads and
 * holds of it, stay bounded.
 *
 * @public
 */
export class JobRetention {
	private running = false

	constructor(
		private readonly context: OwnerContext,
		private readonly parts: {
			readonly log: MetadataLog
			readonly writer: ProgressWriter
			readonly replica: JobReplica
			readonly intake: readonly StreamFollower[]
			/** Milliseconds for which the state of a job that has ended is told. */
			readonly getRetentionTime: () => number
		}
	) {}

	/** Drops what is due. */
	async dropExpired(): Promise<void> {
		if (this.running) return
		this.running = true
		const due = [...this.parts.replica.all]
			.filter((row) => this.isExpired(row))
			.slice(0, MAXIMUM_JOBS_PER_RUN)
		if (due.length > 0) await this.dropJobs(due.map((row) => row.id))
		this.running = false
	}

	private isExpired({ snapshot }: ReplicaRow): boolean {
		if (snapshot?.finishedAt === undefined) return false
		if (snapshot.tasks.some((task) => task.phase === 'placed')) return false
		return (
			this.context.getWallTime() - snapshot.finishedAt >
			this.parts.getRetentionTime() + RETENTION_MARGIN
		)
	}

	/** What callers asked for goes first: progress without its job starts nothing. */
	private async dropJobs(ids: readonly JobId[]): Promise<void> {
		const { log, intake, writer } = this.parts
		const records = ids.flatMap((id) => JobRecords.createIntakeTombstones(id))
		for (const follower of intake) {
			const present = records.filter((record) => follower.has(record.key))
			if (present.length === 0) continue
			const result = await log.append(follower.stream, present, APPEND_TIMEOUT)
			if (result.kind === 'appended') continue
			this.context.events.warn('jobs-not-dropped', { stream: follower.stream, ...result })
			return
		}
		for (const id of ids) {
			writer.markRecordChanged(id, () => ({ key: id, value: undefined }))
			this.context.jobs.remove(id)
		}
		this.context.events.info('jobs-dropped', { count: ids.length })
	}
}
