import type { BackendRow } from '@mastichead/core'
import type { StreamFollower } from '../../log/StreamFollower.js'
import type { ReplicaRow } from '../../log/ReplicaRow.js'
import type { MetadataLog } from '../../ports/MetadataLog.js'
import type { CrashTracker } from '../monitoring/CrashTracker.js'
import type { LeaseLedger } from '../leases/LeaseLedger.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import type { TaskUpdater } from '../monitoring/TaskUpdater.js'
import type { UnreadRuns } from './UnreadRuns.js'

/** Maximum time to wait for the intake and the registry at the start of a term, in milliseconds. */
const MAXIMUM_READ_WAIT = 500
/** Pause before a failed call to the log is retried, in milliseconds. */
const RETRY_PAUSE = 100
/** Time for which jobs are restored without giving way to heartbeats and reads, in milliseconds. */
const RESTORE_SLICE = 20
/**
 * Initial and maximum timeout of the append that raises the fence, in milliseconds; it doubles each
 * time. An append may wait 2 s in the log.
 */
const MINIMUM_FENCE_TIMEOUT = 700
const MAXIMUM_FENCE_TIMEOUT = 2_500

/**
 * Recovers the state of earlier owners at the start of a term: raises the fence, replays their
 * records, and restores their jobs.
 *
 * @public
 */
export class TermRecovery {
	/** Streams that have not been read to the end since the fence was raised. */
	private readonly unreadStreams = new Set<StreamFollower>()
	/** Durations of the finished phases, in milliseconds. */
	private readonly phaseDurations = new Map<string, number>()
	/** Monotonic instants of the start and of the end of the latest phase. */
	private readonly startedAt: number
	private phaseEndedAt: number
	/** End offset of the progress stream at the fence, and the offset that had been read by then. */
	private fenceEnd: number | undefined
	private offsetAtFence = 0

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly log: MetadataLog
			readonly progress: StreamFollower
			readonly taskUpdater: TaskUpdater
			readonly leases: LeaseLedger
			readonly crashes: Pick<CrashTracker, 'restore'>
			readonly unreadRuns: UnreadRuns
			/** Called for each server on which an earlier owner has placed a task of a restored job. */
			readonly onInherited: (backend: BackendRow) => void
			readonly isEnded: () => boolean
		}
	) {
		this.startedAt = context.timers.now()
		this.phaseEndedAt = this.startedAt
	}

	/** Fences off earlier owners and reads all their records. Resolves to whether the term goes on. */
	async readEarlierTerms(): Promise<boolean> {
		const end = await this.raiseFence()
		if (end === undefined) return false
		this.endPhase('fence')
		const { progress, isEnded } = this.options
		this.fenceEnd = end
		this.offsetAtFence = progress.nextOffset
		while (!isEnded() && (progress.nextOffset < end || !progress.loaded)) {
			if (!(await progress.readToEnd())) await this.sleep(RETRY_PAUSE)
		}
		this.endPhase('progress')
		return !isEnded()
	}

	/**
	 * Reads streams to the end, waiting a limited time. A stream that is unavailable is read in the
	 * background once it is available again.
	 */
	async readStreams(followers: readonly StreamFollower[]): Promise<void> {
		for (const follower of followers) this.unreadStreams.add(follower)
		const timeout = this.sleep(MAXIMUM_READ_WAIT)
		await Promise.race([
			timeout,
			Promise.all(followers.map((follower) => this.readToEnd(follower))),
		])
		this.endPhase('intake')
	}

	/** Whether a stream has been read at least to its end at the time the fence was raised. */
	isRead(follower: StreamFollower): boolean {
		return !this.unreadStreams.has(follower)
	}

	/**
	 * Restores jobs in the states in which earlier owners left them, a slice in each turn of the loop.
	 * Resolves to whether the term goes on.
	 */
	async restoreJobs(rows: Iterable<ReplicaRow>): Promise<boolean> {
		const { timers } = this.context
		let sliceEndsAt = timers.now() + RESTORE_SLICE
		for (const row of rows) {
			this.restoreJob(row)
			if (timers.now() < sliceEndsAt) continue
			await this.sleep(0)
			if (this.options.isEnded()) return false
			sliceEndsAt = timers.now() + RESTORE_SLICE
		}
		this.endPhase('restore')
		return !this.options.isEnded()
	}

	/** Returns the durations of the start and its phases, the offsets, and the streams still unread. */
	getReport(): Readonly<Record<string, unknown>> {
		const waited = this.context.timers.now() - this.startedAt
		const unread = [...this.unreadStreams].map((follower) => follower.stream)
		const { fenceEnd, offsetAtFence } = this
		return { waited, ...Object.fromEntries(this.phaseDurations), fenceEnd, offsetAtFence, unread }
	}

	/**
	 * Restores a job in the state in which earlier owners left it. As long as its submission has not been read,
	 * only its recorded runs are counted.
	 */
	restoreJob(replicaRow: ReplicaRow): void {
		const { jobs, backends } = this.context
		const { job, snapshot, cancelled, placements } = replicaRow
		if (!job) {
			this.options.unreadRuns.addJob(replicaRow)
			return
		}
		// A job that was submitted or cancelled meanwhile has been restored by then.
		if (jobs.get(job.id)) return
		this.options.unreadRuns.removeJob(job.id)
		const row = jobs.add(job, snapshot)
		const inherited = new Set<BackendRow>()
		for (const [place, task] of row.tasks.entries()) {
			this.options.crashes.restore(task)
			if (task.phase !== 'placed' || task.backend === undefined) continue
			const backend = backends.getOrCreate(task.backend)
			this.options.leases.inherit(backend)
			const readAt = placements.get(place)?.readAt
			task.orderStateChangedAt = readAt ?? -Infinity
			task.startedAt = readAt ?? this.startedAt
			backends.assign(task)
			inherited.add(backend)
		}
		for (const backend of inherited) this.options.onInherited(backend)
		if (row.finishedAt !== undefined) this.options.taskUpdater.settleJob(row)
		else if (cancelled) this.options.taskUpdater.cancelJob(row)
		else if (hasUnknownUses(replicaRow)) this.options.taskUpdater.updateJob(row)
	}

	/** Resolves to the end offset of the progress stream at the fence; undefined if the term has ended. */
	private async raiseFence(): Promise<number | undefined> {
		const { token, events, endTerm } = this.context
		let timeout = MINIMUM_FENCE_TIMEOUT
		while (!this.options.isEnded()) {
			const fence = { term: token, sequence: 0 }
			const result = await this.options.log.append('progress', [], timeout, fence)
			if (result.kind === 'appended') return result.end
			if (result.kind === 'fenced') {
				endTerm(`fence refused: ${result.reason}`)
				return undefined
			}
			events.warn('owner-fence-repeated', { reason: result.reason, timeout })
			timeout = Math.min(timeout * 2, MAXIMUM_FENCE_TIMEOUT)
			await this.sleep(RETRY_PAUSE)
		}
		return undefined
	}

	private endPhase(name: string): void {
		const now = this.context.timers.now()
		this.phaseDurations.set(name, Math.round(now - this.phaseEndedAt))
		this.phaseEndedAt = now
	}

	private async readToEnd(follower: StreamFollower): Promise<void> {
		while (!this.options.isEnded()) {
			if (await follower.readToEnd()) {
				this.unreadStreams.delete(follower)
				return
			}
			await this.sleep(RETRY_PAUSE)
		}
	}

	private sleep(duration: number): Promise<void> {
		return new Promise((resolve) => {
			this.context.timers.after(duration, resolve)
		})
	}
}

/** Whether the latest progress of a job does not tell what its runs use, for an owner that cannot read the job. */
function hasUnknownUses({ snapshot }: ReplicaRow): boolean {
	return snapshot?.tasks.some(({ phase, use }) => phase === 'placed' && !use) ?? false
}
