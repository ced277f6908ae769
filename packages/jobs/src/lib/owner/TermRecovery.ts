import type { StreamFollower } from '../log/StreamFollower.js'
import type { ReplicaRow } from '../log/ReplicaRow.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { LeaseTiming } from './LeaseTiming.js'
import type { OwnerContext } from './OwnerContext.js'
import type { TaskUpdater } from './TaskUpdater.js'

/** Time for the intake and the registry to be read while a term begins, in milliseconds. */
const MAXIMUM_READ_WAIT = 500
/** Pause before a call that failed is repeated, in milliseconds. */
const RETRY_PAUSE = 100
/** Time for the append that raises the fence, in milliseconds. */
const FENCE_TIMEOUT = 700

/**
 * Begins a term where earlier owners have left off: raises the fence, reads what they recorded, and
 * takes their jobs in.
 *
 * @public
 */
export class TermRecovery {
	/** Streams that have not been read to their ends since the fence was raised. */
	private readonly unreadStreams = new Set<StreamFollower>()

	constructor(
		private readonly context: OwnerContext,
		private readonly parts: {
			readonly log: MetadataLog
			readonly progress: StreamFollower
			readonly taskUpdater: TaskUpdater
			readonly isEnded: () => boolean
		}
	) {}

	/** Shuts earlier owners out and reads all they wrote. Resolves to whether the term goes on. */
	async readEarlierTerms(): Promise<boolean> {
		const end = await this.raiseFence()
		if (end === undefined) return false
		const { progress, isEnded } = this.parts
		while (!isEnded() && (progress.nextOffset < end || !progress.loaded)) {
			if (!(await progress.refresh())) await this.sleep(RETRY_PAUSE)
		}
		return !isEnded()
	}

	/** Reads streams to their ends; one that is out of reach is read once it is back. */
	async readStreams(followers: readonly StreamFollower[]): Promise<void> {
		for (const follower of followers) this.unreadStreams.add(follower)
		const patience = this.sleep(MAXIMUM_READ_WAIT)
		await Promise.race([patience, Promise.all(followers.map((one) => this.readToEnd(one)))])
	}

	/** Whether a stream has been read to where it ended when the fence was raised, or further. */
	isRead(follower: StreamFollower): boolean {
		return !this.unreadStreams.has(follower)
	}

	/** Takes a job in as earlier owners have left it. */
	restoreJob(replicaRow: ReplicaRow): void {
		const { jobs, backends, timers } = this.context
		const { job, snapshot, cancelled } = replicaRow
		if (!job) return
		const row = jobs.add(job, snapshot)
		for (const task of row.tasks) {
			if (task.phase !== 'placed' || task.backend === undefined) continue
			const backend = backends.getOrCreate(task.backend)
			backend.leasesExpireBy = LeaseTiming.getLatestInheritedExpiry(timers.now())
			backends.assign(task)
		}
		if (cancelled) this.parts.taskUpdater.cancelJob(row)
		else if (row.finishedAt !== undefined) this.parts.taskUpdater.updateJob(row)
	}

	/** Resolves to the end of the progress at the fence; undefined if the term has ended. */
	private async raiseFence(): Promise<number | undefined> {
		const { token, events, endTerm: abandon } = this.context
		while (!this.parts.isEnded()) {
			const fence = { term: token, sequence: 0 }
			const result = await this.parts.log.append('progress', [], FENCE_TIMEOUT, fence)
			if (result.kind === 'appended') return result.end
			if (result.kind === 'fenced') {
				abandon(`fence refused: ${result.reason}`)
				return undefined
			}
			events.warn('owner-fence-repeated', { reason: result.reason })
			await this.sleep(RETRY_PAUSE)
		}
		return undefined
	}

	private async readToEnd(follower: StreamFollower): Promise<void> {
		while (!this.parts.isEnded()) {
			if (await follower.refresh()) {
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
