import type { Job, JobId, JobStep, QueueRules, TimerService } from '@mastichead/core'
import { isFinalState } from '@mastichead/core'
import { IntakeRecords } from '../intake/IntakeRecords.js'
import { isSameSubmission } from '../intake/isSameSubmission.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { IntakeWriter } from './IntakeWriter.js'
import type { JobAnswer } from './JobAnswer.js'
import type { JobCaller } from './JobCaller.js'
import { mayReachJob } from './mayReachJob.js'
import { ReplicaReader } from './ReplicaReader.js'

/** Delay after which a caller should retry when the log is unreachable. */
const LOG_RETRY_AFTER_SECONDS = 1
/** Delay after which a cancelled id may be used again, at the latest. */
const BARRED_RETRY_AFTER_SECONDS = 180
const NOT_LOADED_REASON = 'state not loaded yet'

/**
 * Serves submissions, cancellations and queries of callers. Runs on every instance.
 *
 * @public
 */
export class JobIntake {
	private readonly reader: ReplicaReader

	constructor(
		private readonly replica: JobReplica,
		private readonly writer: IntakeWriter,
		private readonly followers: readonly StreamFollower[],
		progress: StreamFollower,
		private readonly events: EventLog,
		private readonly timers: TimerService
	) {
		const intake = followers.filter((follower) => follower !== progress)
		this.reader = new ReplicaReader(replica, intake, progress, timers)
	}

	/**
	 * Submits a job. Resolves once the job is durable and has its id for good.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	async submit(job: Job, deadline: number): Promise<JobAnswer> {
		const { id, queue, team } = job
		if (!(await this.reader.readHome(id, deadline))) {
			this.events.warn('job-not-accepted', { job: id, queue, team, reason: NOT_LOADED_REASON })
			return createRefusedAnswer(NOT_LOADED_REASON)
		}
		const earlier = this.getDecidedAnswer(job)
		if (earlier) {
			this.events.info('job-repeated', { job: id, queue, answer: earlier.kind })
			return earlier
		}
		const startedAt = this.timers.now()
		const result = await this.writer.write(IntakeRecords.createSubmission(job), deadline)
		const after = Math.round(this.timers.now() - startedAt)
		if (result.kind === 'stored') return this.answerStored(job, after, deadline)
		this.events.warn('job-not-accepted', { job: id, queue, team, after, ...result })
		return result.kind === 'unclear' ? result : createRefusedAnswer(result.reason)
	}

	/**
	 * Cancels a job. Resolves once the cancellation is durable, also if no submission is known: those that
	 * the log carries out later have no effect then. That binds the caller's own jobs alone.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 * @param caller - who asks; to it the jobs of others are unknown
	 */
	async cancel(id: JobId, deadline: number, caller?: JobCaller): Promise<JobAnswer> {
		const askedAt = this.timers.now()
		const found = await this.reader.lookUp(id, deadline, caller)
		const isOthers = found === 'unknown' && this.replica.get(id)?.job !== undefined
		if (found === 'unreadable' || isOthers) return this.createMissingAnswer(id, found, askedAt)
		const state = found === 'known' ? this.replica.getState(id) : undefined
		if (state && isFinalState(state)) return { kind: 'cancelled' }
		const result = await this.writer.write(IntakeRecords.createCancellation(id, caller), deadline)
		this.events.info('job-cancel-asked', {
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
		const askedAt = this.timers.now()
		const found = await this.reader.lookUp(id, deadline, caller)
		if (found !== 'known') return this.createMissingAnswer(id, found, askedAt)
		const state = await this.reader.readState(id, deadline)
		if (state !== undefined) return { kind: 'state', state }
		this.events.info('job-state-unread', { job: id })
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
			this.events.info('waiting-jobs-uncounted', { queue })
			return createUnavailableAnswer(NOT_LOADED_REASON)
		}
		return { kind: 'waiting', count: this.replica.countWaitingJobs(queue, prefix) }
	}

	/** Returns the answer to a submission if the records that have been read decide it. */
	private getDecidedAnswer(job: Job): JobAnswer | undefined {
		const existing = this.replica.get(job.id)?.job
		if (existing) return { kind: isSameSubmission(existing, job) ? 'accepted' : 'id-taken' }
		// Progress does not tell whose job it is.
		if (this.replica.isSubmitted(job.id))
			return createRefusedAnswer('earlier job of the id not read')
		if (!this.replica.isBarred(job)) return undefined
		const retryAfterSeconds = BARRED_RETRY_AFTER_SECONDS
		return { kind: 'barred', reason: 'the job was cancelled before', retryAfterSeconds }
	}

	/** Answers a submission whose record is stored: by what came before it in its stream. */
	private async answerStored(job: Job, after: number, deadline: number): Promise<JobAnswer> {
		const { id, queue, team } = job
		const answer = this.getDecidedAnswer(job) ?? createRefusedAnswer('id in use')
		if (answer.kind === 'accepted') {
			this.events.info('job-accepted', {
				job: id,
				queue,
				team,
				after,
				steps: job.steps.map(formatStep),
			})
			return answer
		}
		const withdrawn = await this.withdraw(job, deadline)
		this.events.warn('job-not-accepted', {
			job: id,
			queue,
			team,
			after,
			answer: answer.kind,
			withdrawn,
		})
		return withdrawn ? answer : { kind: 'unclear', reason: 'submission not withdrawn' }
	}

	/**
	 * Deletes the records of a submission that is not the job of its id.
	 *
	 * @returns whether none is left
	 */
	private async withdraw(job: Job, deadline: number): Promise<boolean> {
		const keys = (this.replica.get(job.id)?.entries ?? [])
			.filter((entry) => entry.kind === 'submission' && !entry.isEarlierForm)
			.filter((entry) => entry.kind === 'submission' && isSameSubmission(entry.job, job))
			.map(({ key }) => key)
		if (keys.length === 0) return true
		const { kind } = await this.writer.remove(job.id, keys, deadline)
		return kind === 'stored'
	}

	private isReachable(id: JobId, caller: JobCaller | undefined): boolean {
		if (!caller) return this.replica.isSubmitted(id)
		const job = this.replica.get(id)?.job
		return job !== undefined && mayReachJob(job, caller)
	}

	private createMissingAnswer(
		id: JobId,
		found: 'known' | 'unknown' | 'unreadable',
		askedAt: number
	): JobAnswer {
		const after = Math.round(this.timers.now() - askedAt)
		const unread = this.followers.map(formatUnread).filter((text) => text !== undefined)
		this.events.info('job-not-found', { job: id, found, after, unread })
		if (found === 'unknown') return { kind: 'unknown-job' }
		return createUnavailableAnswer('log out of reach')
	}
}

/** Formats why a stream may lack records here; undefined if its latest read succeeded. */
function formatUnread({ stream, loaded, available }: StreamFollower): string | undefined {
	if (!loaded) return `${stream}: not loaded`
	return available ? undefined : `${stream}: unavailable`
}

function createRefusedAnswer(reason: string): JobAnswer {
	return { kind: 'refused', reason, retryAfterSeconds: LOG_RETRY_AFTER_SECONDS }
}

function createUnavailableAnswer(reason: string): JobAnswer {
	return { kind: 'unavailable', reason, retryAfterSeconds: LOG_RETRY_AFTER_SECONDS }
}

/** Formats the properties of a step that affect its scheduling, for the event log. */
function formatStep(step: JobStep): string {
	const { count, needs, estimate, maximumPerBackend, mayMiss, targetLatency } = step
	const parts = [`${count}x${needs.cpu}m/${needs.memory}MB`]
	if (step.lasting) parts.push('lasting')
	else parts.push(`~${estimate}ms`)
	if (maximumPerBackend > 0) parts.push(`spread=${maximumPerBackend}`)
	if (mayMiss !== undefined) parts.push(`mayMiss=${mayMiss}`)
	if (targetLatency > 0) parts.push(`target=${targetLatency}ms`)
	if (step.dependsOn.length > 0) parts.push(`after=${step.dependsOn.join('+')}`)
	for (const flag of ['gang', 'sameRack', 'speculative', 'fills', 'checkpoints'] as const) {
		if (step[flag]) parts.push(flag)
	}
	if (step.dataRack !== '') parts.push(`data=${step.dataRack}`)
	if (step.requiredLabel !== '') parts.push(`needs=${step.requiredLabel}`)
	return parts.join(' ')
}
