import type { Job, JobId, JobStep, QueueRules, TimerService } from '@mastichead/core'
import { isFinalState } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import { isJobOfQueue } from '../log/isJobOfQueue.js'
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
	 * Submits a job. Resolves once the job is durable.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	async submit(job: Job, deadline: number): Promise<JobAnswer> {
		const earlier = this.getEarlierAnswer(job)
		if (earlier) {
			this.events.info('job-repeated', { job: job.id, queue: job.queue, answer: earlier.kind })
			return earlier
		}
		const startedAt = this.timers.now()
		const result = await this.writer.write(JobRecords.createJobRecord(job), deadline)
		const after = Math.round(this.timers.now() - startedAt)
		const { id, queue, team } = job
		if (result.kind === 'stored') {
			// A submission of another team may have come first.
			if (this.isTaken(job)) return { kind: 'id-taken' }
			const steps = job.steps.map(formatStep)
			this.events.info('job-accepted', { job: id, queue, team, after, steps })
			return { kind: 'accepted' }
		}
		this.events.warn('job-not-accepted', { job: id, queue, team, after, ...result })
		if (result.kind === 'unclear') return result
		return { kind: 'refused', reason: result.reason, retryAfterSeconds: LOG_RETRY_AFTER_SECONDS }
	}

	/**
	 * Cancels a job. Resolves once the cancellation is durable, also if no submission is known: the log may
	 * still carry one out, and the job must not run then. That binds the caller's team alone.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 * @param caller - who asks; to it the jobs of others are unknown
	 */
	async cancel(id: JobId, deadline: number, caller?: JobCaller): Promise<JobAnswer> {
		const askedAt = this.timers.now()
		const found = await this.reader.lookUp(id, deadline, caller)
		if (found === 'unreadable') return this.createMissingAnswer(id, found, askedAt)
		const state = found === 'known' ? this.replica.getState(id) : undefined
		if (state && isFinalState(state)) return { kind: 'cancelled' }
		const boundTeam = found === 'known' ? undefined : caller?.team
		const record = JobRecords.createCancelRecord(id, boundTeam)
		const result = await this.writer.write(record, deadline)
		this.events.info('job-cancel-asked', { job: id, state, verdict: result.kind, boundTeam })
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
		return createUnavailableAnswer('state not loaded yet')
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
			return createUnavailableAnswer('state not loaded yet')
		}
		return { kind: 'waiting', count: this.replica.countWaitingJobs(queue, prefix) }
	}

	/** Returns the answer to a submission whose id is in use or barred; undefined if it is to be written. */
	private getEarlierAnswer(job: Job): JobAnswer | undefined {
		const { id, team } = job
		if (this.isTaken(job)) return { kind: 'id-taken' }
		if (this.replica.isSubmitted(id)) return { kind: 'accepted' }
		if (!this.replica.isBarred(id, team)) return undefined
		const retryAfterSeconds = BARRED_RETRY_AFTER_SECONDS
		return { kind: 'barred', reason: 'the job was cancelled before', retryAfterSeconds }
	}

	/** Whether a job of another team, or in another queue, has the id. */
	private isTaken({ id, team, queue, acceptedRules }: Job): boolean {
		const existing = this.replica.get(id)?.job
		if (!existing) return false
		return existing.team !== team || !isJobOfQueue(existing, queue, acceptedRules)
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
