import type { Job, JobId, JobStep, TimerService } from '@mastichead/core'
import { isFinalState } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { IntakeWriter } from './IntakeWriter.js'
import type { JobAnswer } from './JobAnswer.js'
import type { WriteResult } from './WriteResult.js'

/** Time for a question's state to be read anew before the known one is told, in milliseconds. */
const STATE_READ_TIMEOUT = 150
/** Seconds until a caller should try again when the log is out of reach. */
const LOG_RETRY_AFTER_SECONDS = 1

/**
 * Serves callers: submissions, cancels and questions, at any instance.
 *
 * @public
 */
export class JobIntake {
	private readonly pendingWrites = new Map<JobId, Promise<WriteResult>>()

	constructor(
		private readonly replica: JobReplica,
		private readonly writer: IntakeWriter,
		private readonly followers: readonly StreamFollower[],
		private readonly progress: StreamFollower,
		private readonly events: EventLog,
		private readonly timers: TimerService
	) {}

	/**
	 * Takes a job in; answers once it is durable.
	 *
	 * @param deadline - instant by which the caller needs an answer
	 */
	async submit(job: Job, deadline: number): Promise<JobAnswer> {
		if (this.replica.get(job.id)?.job) {
			this.events.info('job-repeated', { job: job.id, queue: job.queue })
			return { kind: 'accepted' }
		}
		const startedAt = this.timers.now()
		const result = await this.writeJob(job, deadline)
		const after = Math.round(this.timers.now() - startedAt)
		const { id, queue, team } = job
		if (result.kind === 'stored') {
			const steps = job.steps.map(formatStep)
			this.events.info('job-accepted', { job: id, queue, team, after, steps })
			return { kind: 'accepted' }
		}
		this.events.warn('job-not-accepted', { job: id, queue, team, after, ...result })
		if (result.kind === 'unclear') return result
		return { kind: 'refused', reason: result.reason, retryAfter: LOG_RETRY_AFTER_SECONDS }
	}

	/**
	 * Cancels a job; answers once the cancel is durable.
	 *
	 * @param deadline - instant by which the caller needs an answer
	 */
	async cancel(id: JobId, deadline: number): Promise<JobAnswer> {
		const known = await this.lookUpJob(id)
		if (known !== 'known') return this.createMissingAnswer(id, known)
		const state = this.replica.getState(id)
		if (state && isFinalState(state)) return { kind: 'cancelled' }
		const result = await this.writer.write(JobRecords.createCancelRecord(id), deadline)
		this.events.info('job-cancel-asked', { job: id, state, verdict: result.kind })
		if (result.kind === 'stored') return { kind: 'cancelled' }
		if (result.kind === 'unclear') return result
		return { kind: 'unavailable', reason: result.reason, retryAfter: LOG_RETRY_AFTER_SECONDS }
	}

	/** Tells a job's state; reads on first if it may have gone on since this instance has read. */
	async getState(id: JobId): Promise<JobAnswer> {
		const known = await this.lookUpJob(id)
		const before = this.replica.getState(id)
		if (before && !isFinalState(before)) await this.progress.catchUp(STATE_READ_TIMEOUT)
		const state = this.replica.getState(id)
		if (known !== 'known' || !state) return this.createMissingAnswer(id, known)
		return { kind: 'state', state }
	}

	countWaitingJobs(queue: string): JobAnswer {
		return { kind: 'waiting', count: this.replica.countWaitingJobs(queue) }
	}

	private async writeJob(job: Job, deadline: number): Promise<WriteResult> {
		const pendingWrite = this.pendingWrites.get(job.id)
		if (pendingWrite) return pendingWrite
		const write = this.writer.write(JobRecords.createJobRecord(job), deadline)
		this.pendingWrites.set(job.id, write)
		return write.finally(() => this.pendingWrites.delete(job.id))
	}

	/** Looks a job up; what this instance has not read yet is read before it says no. */
	private async lookUpJob(id: JobId): Promise<'known' | 'unknown' | 'unreadable'> {
		if (this.replica.get(id)?.job) return 'known'
		const answers = await Promise.all(this.followers.map((follower) => follower.refresh()))
		if (this.replica.get(id)?.job) return 'known'
		return answers.every(Boolean) ? 'unknown' : 'unreadable'
	}

	private createMissingAnswer(id: JobId, found: 'known' | 'unknown' | 'unreadable'): JobAnswer {
		this.events.info('job-not-found', { job: id, found })
		if (found === 'unknown') return { kind: 'unknown-job' }
		return { kind: 'unavailable', reason: 'log out of reach', retryAfter: LOG_RETRY_AFTER_SECONDS }
	}
}

/** What decides where and when a step runs, in short. */
function formatStep(step: JobStep): string {
	const { count, needs, estimate, maximumPerBackend, mayMiss, targetLatency } = step
	const words = [`${count}x${needs.cpu}m/${needs.memory}MB`]
	if (step.lasting) words.push('lasting')
	else words.push(`~${estimate}ms`)
	if (maximumPerBackend > 0) words.push(`spread=${maximumPerBackend}`)
	if (mayMiss !== undefined) words.push(`mayMiss=${mayMiss}`)
	if (targetLatency > 0) words.push(`target=${targetLatency}ms`)
	if (step.dependsOn.length > 0) words.push(`after=${step.dependsOn.join('+')}`)
	for (const flag of ['gang', 'sameRack', 'speculative', 'fills', 'checkpoints'] as const) {
		if (step[flag]) words.push(flag)
	}
	if (step.dataRack !== '') words.push(`data=${step.dataRack}`)
	if (step.requiredLabel !== '') words.push(`needs=${step.requiredLabel}`)
	return words.join(' ')
}
