import type { JobId, JobState, TimerService } from '@mastichead/core'
import { isFinalState } from '@mastichead/core'
import { getHomeStream } from '../intake/getHomeStream.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { JobCaller } from './JobCaller.js'
import { mayReachJob } from './mayReachJob.js'

/** How long a query waits for new progress before it uses the known state, in milliseconds. */
const STATE_READ_TIMEOUT = 150
/** How long a query waits for a stream that did not answer lately, in milliseconds. */
const UNAVAILABLE_STREAM_TIMEOUT = 150

type LookUpResult = 'known' | 'unknown' | 'unreadable'

/**
 * Brings the replica up to date for queries, within the deadlines of their callers.
 *
 * @public
 */
export class ReplicaReader {
	/**
	 * @param intake - followers of all intake streams
	 */
	constructor(
		private readonly replica: JobReplica,
		private readonly intake: readonly StreamFollower[],
		private readonly progress: StreamFollower,
		private readonly timers: TimerService
	) {}

	/**
	 * Looks up a job; reads the intake streams to their ends before it reports the job as unknown.
	 *
	 * @param deadline - monotonic instant at which the job is `unreadable` if it was not found
	 * @param caller - who asks; to it the jobs of others are unknown
	 */
	async lookUp(id: JobId, deadline: number, caller?: JobCaller): Promise<LookUpResult> {
		const found = this.getKnown(id, caller)
		if (found) return found
		const allRead = await this.readIntake(id, deadline)
		return this.getKnown(id, caller) ?? (allRead ? 'unknown' : 'unreadable')
	}

	/**
	 * Reads the stream that holds the records about an id if there is progress of a job whose submission has
	 * not been read.
	 *
	 * @param deadline - monotonic instant at which it gives up
	 */
	async readSubmission(id: JobId, deadline: number): Promise<void> {
		if (!this.replica.isSubmitted(id) || this.replica.get(id)?.job) return
		const stream = getHomeStream(id)
		const home = this.intake.find((follower) => follower.stream === stream)
		if (!home) return
		await new Promise<void>((resolve) => {
			const timer = this.timers.after(this.getTimeout([home], deadline), resolve)
			void home.readToEnd().then(() => {
				timer.cancel()
				resolve()
			})
		})
	}

	/** Returns whether a caller may know a job, as far as the records that have been read tell. */
	private getKnown(id: JobId, caller: JobCaller | undefined): 'known' | 'unknown' | undefined {
		if (!this.replica.isSubmitted(id)) return undefined
		if (!caller) return 'known'
		// Progress does not tell whose job it is.
		const job = this.replica.get(id)?.job
		return job && (mayReachJob(job, caller) ? 'known' : 'unknown')
	}

	/**
	 * Returns the state of a known job; catches up with the progress stream first unless the known
	 * state is final. Returns undefined if the records that decide it may not have been loaded.
	 *
	 * @param deadline - monotonic instant at which it returns what is known
	 */
	async readState(id: JobId, deadline: number): Promise<JobState | undefined> {
		if (!this.hasFinalProgress(id)) await this.readProgress(deadline)
		return this.isStateLoaded(id) ? this.replica.getState(id) : undefined
	}

	/** Whether every stream has been loaded, so that no job and no progress is missing. */
	get isLoaded(): boolean {
		return this.progress.loaded && this.isIntakeLoaded
	}

	/** Whether every record that can decide the state of a known job has been loaded. */
	private isStateLoaded(id: JobId): boolean {
		if (this.hasFinalProgress(id)) return true
		if (!this.progress.loaded) return false
		// A cancellation may be on any intake stream.
		return this.replica.get(id)?.cancelled === true || this.isIntakeLoaded
	}

	private get isIntakeLoaded(): boolean {
		return this.intake.every((follower) => follower.loaded)
	}

	private hasFinalProgress(id: JobId): boolean {
		const state = this.replica.get(id)?.snapshot?.state
		return state !== undefined && isFinalState(state)
	}

	private async readProgress(deadline: number): Promise<void> {
		const remaining = deadline - this.timers.now()
		if (this.progress.loaded) {
			await this.progress.catchUp(Math.min(STATE_READ_TIMEOUT, remaining))
			return
		}
		if (!this.progress.available) return
		await new Promise<void>((resolve) => {
			const timer = this.timers.after(remaining, resolve)
			void this.progress.readToEnd().then(() => {
				timer.cancel()
				resolve()
			})
		})
	}

	/**
	 * Reads the intake streams until the job is found, every stream was read, or the time is over.
	 * A stream that was never loaded and is unavailable is left out.
	 *
	 * @returns whether every stream was read to its end
	 */
	private readIntake(id: JobId, deadline: number): Promise<boolean> {
		const readable = this.intake.filter((follower) => follower.loaded || follower.available)
		if (readable.length === 0) return Promise.resolve(false)
		const timeout = this.getTimeout(readable, deadline)
		return new Promise((resolve) => {
			let readCount = 0
			let endedCount = 0
			const timer = this.timers.after(timeout, () => {
				resolve(false)
			})
			const recordEnd = (read: boolean): void => {
				endedCount += 1
				if (read) readCount += 1
				if (endedCount < readable.length && !this.replica.get(id)?.job) return
				timer.cancel()
				resolve(readCount === this.intake.length)
			}
			for (const follower of readable) void follower.readToEnd().then(recordEnd)
		})
	}

	private getTimeout(followers: readonly StreamFollower[], deadline: number): number {
		const remaining = deadline - this.timers.now()
		if (followers.every((follower) => follower.available)) return remaining
		return Math.min(UNAVAILABLE_STREAM_TIMEOUT, remaining)
	}
}
