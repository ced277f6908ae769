import type { Job, JobId, QueueRules, TimerService } from '@mastichead/core'
import { isFinalState } from '@mastichead/core'
import { IntakeRecords } from '../intake/IntakeRecords.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { JobMetrics } from '../metrics/JobMetrics.js'
import type { IntakeWriter } from './IntakeWriter.js'
import type { JobAnswer } from './JobAnswer.js'
import type { JobCaller } from './JobCaller.js'
import { mayReachJob } from './mayReachJob.js'
import { ReplicaReader } from './ReplicaReader.js'
import { SubmissionManager } from './SubmissionManager.js'

/** Delay after which a caller should retry when the log is unreachable. */
const LOG_RETRY_AFTER_SECONDS = 1
const NOT_LOADED_REASON = 'state not loaded yet'

/**
 * Serves submissions, cancellations and queries of callers. Runs on every instance.
 *
 * @public
 */
export class JobIntake {
	private readonly reader: ReplicaReader
	private readonly submissions: SubmissionManager

	constructor(
		private readonly options: {
			readonly replica: JobReplica
			readonly writer: IntakeWriter
			/** Followers of all intake streams. */
			readonly intake: readonly StreamFollower[]
			readonly progress: StreamFollower
			readonly events: EventLog
			readonly metrics: JobMetrics
			readonly timers: TimerService
		}
	) {
		const { replica, intake, progress, timers } = options
		this.reader = new ReplicaReader(replica, intake, progress, timers)
		this.submissions = new SubmissionManager({ ...options, reader: this.reader })
	}

	/**
	 * Submits a job. Resolves once the job is durable and has its id for good.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	submit(job: Job, deadline: number): Promise<JobAnswer> {
		return this.submissions.submit(job, deadline)
	}

	/**
	 * Cancels a job. Resolves once the cancellation is durable, also if no submission is known: those that
	 * the log carries out later have no effect then. That binds the caller's own jobs alone.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 * @param caller - who asks; to it the jobs of others are unknown
	 */
	async cancel(id: JobId, deadline: number, caller?: JobCaller): Promise<JobAnswer> {
		const askedAt = this.options.timers.now()
		const found = await this.reader.lookUp(id, deadline, caller)
		const isOthers = found === 'unknown' && this.options.replica.get(id)?.job !== undefined
		if (found === 'unreadable' || isOthers) return this.createMissingAnswer(id, found, askedAt)
		const state = found === 'known' ? this.options.replica.getState(id) : undefined
		if (state && isFinalState(state)) return { kind: 'cancelled' }
		const result = await this.options.writer.write(
			IntakeRecords.createCancellation(id, caller),
			deadline
		)
		this.options.events.info('job-cancel-asked', {
			job: id,
			state,
			verdict: result.kind,
			team: caller?.team,
		})
		if (result.kind === 'unclear') return result
		if (result.kind !== 'stored') return createUnavailableAnswer(result.reason)
		if (this.isReachable(id, caller)) return { kind: 'cancelled' }
		return this.createMissingAnswer(id, 'unknown', askedAt)
	}

	/**
	 * Returns the state of a job; catches up with the log first unless the known state is final. The
	 * answer is `unavailable` while the records that decide the state have not all been loaded.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 * @param caller - who asks; to it the jobs of others are unknown
	 */
	async getState(id: JobId, deadline: number, caller?: JobCaller): Promise<JobAnswer> {
		const askedAt = this.options.timers.now()
		const found = await this.reader.lookUp(id, deadline, caller)
		if (found !== 'known') return this.createMissingAnswer(id, found, askedAt)
		const state = await this.reader.readState(id, deadline)
		if (state !== undefined) return { kind: 'state', state }
		this.options.events.info('job-state-unread', { job: id })
		return createUnavailableAnswer(NOT_LOADED_REASON)
	}

	/**
	 * Counts the jobs of a queue that have no schedule and of which no task has started. The answer is
	 * `unavailable` until every stream has been loaded.
	 *
	 * @param prefix - where callers reach the queue; jobs accepted there under another name count as well
	 */
	countWaitingJobs(queue: string, prefix?: Pick<QueueRules, 'host' | 'pathPrefix'>): JobAnswer {
		if (!this.reader.isLoaded) {
			this.options.events.info('waiting-jobs-uncounted', { queue })
			return createUnavailableAnswer(NOT_LOADED_REASON)
		}
		return { kind: 'waiting', count: this.options.replica.countWaitingJobs(queue, prefix) }
	}

	private isReachable(id: JobId, caller: JobCaller | undefined): boolean {
		if (!caller) return this.options.replica.isSubmitted(id)
		const job = this.options.replica.get(id)?.job
		return job !== undefined && mayReachJob(job, caller)
	}

	private createMissingAnswer(
		id: JobId,
		found: 'known' | 'unknown' | 'unreadable',
		askedAt: number
	): JobAnswer {
		const after = Math.round(this.options.timers.now() - askedAt)
		const { intake, progress } = this.options
		const unread = [...intake, progress].map(formatUnread).filter((text) => text !== undefined)
		this.options.events.info('job-not-found', { job: id, found, after, unread })
		if (found === 'unknown') return { kind: 'unknown-job' }
		return createUnavailableAnswer('log out of reach')
	}
}

/** Formats why a stream may lack records here; undefined if its latest read succeeded. */
function formatUnread({ stream, loaded, available }: StreamFollower): string | undefined {
	if (!loaded) return `${stream}: not loaded`
	return available ? undefined : `${stream}: unavailable`
}

function createUnavailableAnswer(reason: string): JobAnswer {
	return { kind: 'unavailable', reason, retryAfterSeconds: LOG_RETRY_AFTER_SECONDS }
}
