import type { Job, JobStep, TimerService } from '@mastichead/core'
import { IntakeRecords } from '../intake/IntakeRecords.js'
import { isSameSubmission } from '../intake/isSameSubmission.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { EventLog } from '../logs/EventLog.js'
import type { JobMetrics } from '../metrics/JobMetrics.js'
import type { IntakeWriter } from './IntakeWriter.js'
import type { JobAnswer } from './JobAnswer.js'
import type { ReplicaReader } from './ReplicaReader.js'

/** Delay after which a caller should retry what was refused for a moment. */
const RETRY_AFTER_SECONDS = 1
/** Delay after which a cancelled id may be used again, at the latest. */
const BARRED_RETRY_AFTER_SECONDS = 180

/**
 * Decides about submissions. A submission is accepted only once it is known to be the job of its id, which no
 * other record can change any more.
 *
 * @internal
 */
export class SubmissionManager {
	constructor(
		private readonly options: {
			readonly replica: JobReplica
			readonly writer: IntakeWriter
			readonly reader: ReplicaReader
			readonly events: EventLog
			readonly metrics: JobMetrics
			readonly timers: TimerService
		}
	) {}

	/**
	 * Submits a job. Resolves once the job is durable and has its id for good.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	async submit(job: Job, deadline: number): Promise<JobAnswer> {
		const { reader, events, metrics, timers } = this.options
		const startedAt = timers.now()
		await reader.readSubmission(job.id, deadline)
		const earlier = this.getDecidedAnswer(job)
		const answer = earlier ?? (await this.write(job, deadline))
		metrics.count('submissions', answer.kind)
		const { id, queue, team } = job
		const after = Math.round(timers.now() - startedAt)
		if (answer.kind !== 'accepted') {
			events.warn('job-not-accepted', { job: id, queue, team, after, ...answer })
		} else if (earlier) events.info('job-repeated', { job: id, queue })
		else
			events.info('job-accepted', { job: id, queue, team, after, steps: job.steps.map(formatStep) })
		return answer
	}

	/** Writes a submission, and decides about it by what came before it in its stream. */
	private async write(job: Job, deadline: number): Promise<JobAnswer> {
		const result = await this.options.writer.write(IntakeRecords.createSubmission(job), deadline)
		if (result.kind === 'unclear') return result
		if (result.kind === 'not-stored') return createRefusedAnswer(result.reason)
		const answer = this.getDecidedAnswer(job) ?? createRefusedAnswer('id in use')
		if (answer.kind === 'accepted' || (await this.withdraw(job, deadline))) return answer
		return { kind: 'unclear', reason: 'submission not withdrawn' }
	}

	/** Returns the answer to a submission if the records that have been read decide it. */
	private getDecidedAnswer(job: Job): JobAnswer | undefined {
		const { replica } = this.options
		const existing = replica.get(job.id)?.job
		if (existing) return { kind: isSameSubmission(existing, job) ? 'accepted' : 'id-taken' }
		// Progress does not tell whose job it is.
		if (replica.isSubmitted(job.id)) return createRefusedAnswer('earlier job of the id not read')
		if (!replica.isBarred(job)) return undefined
		const retryAfterSeconds = BARRED_RETRY_AFTER_SECONDS
		return { kind: 'barred', reason: 'the job was cancelled before', retryAfterSeconds }
	}

	/**
	 * Deletes the records of a submission that is not the job of its id.
	 *
	 * @returns whether none is left
	 */
	private async withdraw(job: Job, deadline: number): Promise<boolean> {
		const { replica, writer, metrics } = this.options
		const entries = replica.get(job.id)?.entries ?? []
		const own = entries.filter(
			(entry) =>
				entry.kind === 'submission' && !entry.isEarlierForm && isSameSubmission(entry.job, job)
		)
		if (own.length === 0) return true
		const keys = own.map(({ key }) => key)
		const { kind } = await writer.remove(job.id, keys, deadline)
		metrics.count('submissions_withdrawn', kind)
		return kind === 'stored'
	}
}

function createRefusedAnswer(reason: string): JobAnswer {
	return { kind: 'refused', reason, retryAfterSeconds: RETRY_AFTER_SECONDS }
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
