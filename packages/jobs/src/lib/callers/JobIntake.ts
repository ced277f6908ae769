import type { Job, JobId, JobStep, TimerService } from '@mastichead/core'
import { isFinalState } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { IntakeWriter } from './IntakeWriter.js'
import type { JobAnswer } from './JobAnswer.js'
import type { WriteVerdict } from './WriteVerdict.js'

/** Time for a question's state to be read anew before the known one is told, in milliseconds. */
const STATE_PATIENCE = 150
/** Seconds until a caller should try again when the log is out of reach. */
const RETRY_AFTER_LOG = 1

/**
 * Serves callers: submissions, cancels and questions, at any instance.
 *
 * @public
 */
export class JobIntake {
	private readonly pending = new Map<JobId, Promise<WriteVerdict>>()

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
		const verdict = await this.store(job, deadline)
		const after = Math.round(this.timers.now() - startedAt)
		const { id, queue, team } = job
		if (verdict.kind === 'stored') {
			const steps = job.steps.map(describeStep)
			this.events.info('job-accepted', { job: id, queue, team, after, steps })
			return { kind: 'accepted' }
		}
		this.events.warn('job-not-accepted', { job: id, queue, team, after, ...verdict })
		if (verdict.kind === 'unclear') return verdict
		return { kind: 'refused', reason: verdict.reason, retryAfter: RETRY_AFTER_LOG }
	}

	/**
	 * Cancels a job; answers once the cancel is durable.
	 *
	 * @param deadline - instant by which the caller needs an answer
	 */
	async cancel(id: JobId, deadline: number): Promise<JobAnswer> {
		const known = await this.find(id)
		if (known !== 'known') return this.describeMissing(id, known)
		const state = this.replica.getState(id)
		if (state && isFinalState(state)) return { kind: 'cancelled' }
		const verdict = await this.writer.write(JobRecords.createCancel(id), deadline)
		this.events.info('job-cancel-asked', { job: id, state, verdict: verdict.kind })
		if (verdict.kind === 'stored') return { kind: 'cancelled' }
		if (verdict.kind === 'unclear') return verdict
		return { kind: 'unavailable', reason: verdict.reason, retryAfter: RETRY_AFTER_LOG }
	}

	/** Tells a job's state; reads on first if it may have gone on since this instance has read. */
	async getState(id: JobId): Promise<JobAnswer> {
		const known = await this.find(id)
		const before = this.replica.getState(id)
		if (before && !isFinalState(before)) await this.progress.catchUp(STATE_PATIENCE)
		const state = this.replica.getState(id)
		if (known !== 'known' || !state) return this.describeMissing(id, known)
		return { kind: 'state', state }
	}

	countWaiting(queue: string): JobAnswer {
		return { kind: 'waiting', count: this.replica.countWaiting(queue) }
	}

	private async store(job: Job, deadline: number): Promise<WriteVerdict> {
		const under = this.pending.get(job.id)
		if (under) return under
		const write = this.writer.write(JobRecords.createJob(job), deadline)
		this.pending.set(job.id, write)
		return write.finally(() => this.pending.delete(job.id))
	}

	/** Looks a job up; what this instance has not read yet is read before it says no. */
	private async find(id: JobId): Promise<'known' | 'unknown' | 'unreadable'> {
		if (this.replica.get(id)?.job) return 'known'
		const answers = await Promise.all(this.followers.map((follower) => follower.refresh()))
		if (this.replica.get(id)?.job) return 'known'
		return answers.every(Boolean) ? 'unknown' : 'unreadable'
	}

	private describeMissing(id: JobId, found: 'known' | 'unknown' | 'unreadable'): JobAnswer {
		this.events.info('job-not-found', { job: id, found })
		if (found === 'unknown') return { kind: 'unknown-job' }
		return { kind: 'unavailable', reason: 'log out of reach', retryAfter: RETRY_AFTER_LOG }
	}
}

/** What decides where and when a step runs, in short. */
function describeStep(step: JobStep): string {
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
