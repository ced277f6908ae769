import { IntakeRecords } from '../../intake/IntakeRecords.js'
import type { JobReplica } from '../../log/JobReplica.js'
import type { ReplicaRow } from '../../log/ReplicaRow.js'
import type { StreamFollower } from '../../log/StreamFollower.js'
import type { LogRecord } from '../../ports/LogRecord.js'
import type { MetadataLog } from '../../ports/MetadataLog.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import type { ProgressWriter } from '../terms/ProgressWriter.js'

/** Extra time for which expired jobs are kept, for late repeated requests, in milliseconds. */
const RETENTION_MARGIN = 30_000
/** Time after the end of a job in which a copy of its submission may still arrive, in milliseconds. */
const MAXIMUM_SUBMISSION_DELAY = 10_000
/** Maximum number of jobs dropped at once, so that few records of placements wait behind them. */
const MAXIMUM_JOBS_PER_BATCH = 200
/** Timeout of one append, in milliseconds. */
const APPEND_TIMEOUT = 900

/**
 * Drops the records of jobs that finished long ago, and cancellations of jobs that were never submitted.
 * This bounds the size of the log and of the replica in each instance.
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
		const failedStreams = new Set<StreamFollower>()
		const intakeReadAt = this.getIntakeReadAt()
		const expired = [...this.options.replica.all].filter((row) => this.isExpired(row, intakeReadAt))
		for (let start = 0; start < expired.length; start += MAXIMUM_JOBS_PER_BATCH) {
			await this.dropJobs(expired.slice(start, start + MAXIMUM_JOBS_PER_BATCH), failedStreams)
			await this.waitForDurability()
		}
		this.isDropping = false
	}

	private waitForDurability(): Promise<void> {
		return new Promise((resolve) => {
			this.options.writer.whenDurable(resolve)
		})
	}

	/**
	 * Returns the wall time of the oldest answer among the latest ones of all intake streams. A job that
	 * ended before it has no submission that is still unread, which would make it a new job again.
	 */
	private getIntakeReadAt(): number {
		const { timers, getWallTime } = this.context
		const offset = getWallTime() - timers.now()
		const instants = this.options.intake.map(({ loaded, lastContactAt }) =>
			loaded && lastContactAt !== undefined ? lastContactAt + offset : -Infinity
		)
		return Math.min(...instants)
	}

	private isExpired(row: ReplicaRow, intakeReadAt: number): boolean {
		const endedAt = this.getEndedAt(row)
		if (endedAt === undefined || endedAt + MAXIMUM_SUBMISSION_DELAY > intakeReadAt) return false
		if (row.snapshot?.tasks.some((task) => task.phase === 'placed')) return false
		return this.context.getWallTime() - endedAt > this.options.getRetentionTime() + RETENTION_MARGIN
	}

	/** Returns when a job ended, or when it was cancelled without having been submitted, as wall time. */
	private getEndedAt({ job, snapshot, cancelReadAt }: ReplicaRow): number | undefined {
		if (job || snapshot || cancelReadAt === undefined) return snapshot?.finishedAt
		const { timers, getWallTime } = this.context
		return cancelReadAt + getWallTime() - timers.now()
	}

	/**
	 * Drops the intake records first, because progress without its job starts nothing. Keeps the jobs
	 * with records in a stream that does not accept an append.
	 *
	 * @param failedStreams - streams that are not tried again in this run
	 */
	private async dropJobs(
		rows: readonly ReplicaRow[],
		failedStreams: Set<StreamFollower>
	): Promise<void> {
		const remaining = new Map(rows.map((row) => [row.id, row]))
		const { intake } = this.options
		const streams = [...intake].sort(
			(a, b) => Number(failedStreams.has(b)) - Number(failedStreams.has(a))
		)
		for (const follower of streams) {
			const present = [...remaining.values()].filter(
				(row) => getIntakeRecords(follower, row).length > 0
			)
			if (present.length === 0) continue
			if (!failedStreams.has(follower) && (await this.dropIntakeRecords(follower, present)))
				continue
			failedStreams.add(follower)
			for (const { id } of present) remaining.delete(id)
		}
		this.dropProgress(rows.filter(({ id }) => remaining.has(id)))
	}

	private async dropIntakeRecords(
		follower: StreamFollower,
		rows: readonly ReplicaRow[]
	): Promise<boolean> {
		const { stream } = follower
		const records = rows.flatMap((row) => getIntakeRecords(follower, row))
		const result = await this.options.log.append(stream, records, APPEND_TIMEOUT)
		if (result.kind === 'appended') return true
		this.context.events.warn('jobs-not-dropped', { stream, count: rows.length, ...result })
		return false
	}

	private dropProgress(rows: readonly ReplicaRow[]): void {
		if (rows.length === 0) return
		for (const { id, snapshot } of rows) {
			if (snapshot) this.options.writer.markRecordChanged(id, () => ({ key: id, value: undefined }))
			this.context.jobs.remove(id)
		}
		this.context.events.info('jobs-dropped', { count: rows.length })
	}
}

/** Returns the tombstones for the records that a job has in a stream. */
function getIntakeRecords({ stream }: StreamFollower, { entries }: ReplicaRow): LogRecord[] {
	return IntakeRecords.createTombstones(entries.filter((entry) => entry.stream === stream))
}
