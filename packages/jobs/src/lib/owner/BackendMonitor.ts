import type { BackendRow, TaskRow } from '@mastichead/core'
import type { RenewalResult } from '../ports/RenewalResult.js'
import type { RunListing } from '../ports/RunListing.js'
import { LeaseTiming } from './LeaseTiming.js'
import type { OrderDispatcher } from './OrderDispatcher.js'
import type { OwnerContext } from './OwnerContext.js'
import type { TaskUpdater } from './TaskUpdater.js'
import type { ProgressWriter } from './ProgressWriter.js'
import { selectNewEnds } from './selectNewEnds.js'

/**
 * Time that a listing waits for an end, in milliseconds: while tasks run that end by themselves, and
 * while only lasting ones do. A listing that is lost hides ends for that long.
 */
const LISTING_WAIT = 700
const LASTING_LISTING_WAIT = 1_500
/** Pause between two listings: ends that come together cost one. */
const LISTING_PAUSE = 70
/** Pause before the ends of a server that runs nothing more are acknowledged, in milliseconds. */
const IDLE_ACKNOWLEDGEMENT_PAUSE = 500
/** Pause after a listing that failed, while something may run there and else, in milliseconds. */
const FAILURE_PAUSE = 300
const IDLE_FAILURE_PAUSE = 800
/** Time for ends to become durable before the leases are renewed all the same, in milliseconds. */
const MAXIMUM_DURABILITY_WAIT = 1_500
/** Pause between two stops of a run that nobody wants, in milliseconds. */
const UNEXPECTED_RUN_STOP_PAUSE = 400

/**
 * Keeps the leases on one backend server, learns what runs and has ended there, and says what
 * follows. While nothing runs there, it asks nothing.
 *
 * @public
 */
export class BackendMonitor {
	private stopped = false
	private endSleep: (() => void) | undefined
	private readonly unexpectedRunStops = new Map<string, number>()
	private isListing = false

	constructor(
		private readonly context: OwnerContext,
		private readonly row: BackendRow,
		private readonly parts: {
			readonly taskUpdater: TaskUpdater
			readonly dispatcher: OrderDispatcher
			readonly writer: ProgressWriter
			readonly replan: () => void
			/** Whether every job is known that an earlier owner can have started. */
			readonly isIntakeRead: () => boolean
		}
	) {}

	start(): void {
		void this.run()
	}

	stop(): void {
		this.stopped = true
		this.wakeUp()
	}

	/** Something was placed there, or its registration has changed. */
	wakeUp(): void {
		this.endSleep?.()
	}

	/** Reads one listing at once, beside the one that waits for an end. */
	requestListing(): void {
		if (this.isListing || this.stopped) return
		this.isListing = true
		void this.renew(0).finally(() => {
			this.isListing = false
		})
	}

	private async run(): Promise<void> {
		while (!this.stopped) {
			if (!this.isNeeded()) {
				await this.sleep(undefined)
				continue
			}
			const listed = await this.renew(this.getListingWait())
			await this.sleep(listed ? LISTING_PAUSE : this.getFailurePause())
			if (listed && this.row.tasks.size === 0) await this.sleep(IDLE_ACKNOWLEDGEMENT_PAUSE)
			await this.waitForDurability()
		}
	}

	private getListingWait(): number {
		const { reconciled, tasks } = this.row
		if (!reconciled || tasks.size === 0) return 0
		for (const task of tasks.values()) if (!task.step.lasting) return LISTING_WAIT
		return LASTING_LISTING_WAIT
	}

	private getFailurePause(): number {
		return this.row.tasks.size > 0 ? FAILURE_PAUSE : IDLE_FAILURE_PAUSE
	}

	private isNeeded(): boolean {
		const { row } = this
		if (row.address === '') return row.tasks.size > 0
		const unacknowledged = row.lastProcessedEnd > row.lastAcknowledgedEnd
		const unusable = !row.reconciled || !row.reachable
		return (row.registered && unusable) || row.tasks.size > 0 || unacknowledged
	}

	private async renew(wait: number): Promise<boolean> {
		const { row, context } = this
		if (!context.mayAct()) return false
		const sentAt = context.timers.now()
		if (row.address === '') {
			this.handleUnreachable('no address', sentAt)
			return false
		}
		// A server that may be gone gets no new lease: what ran there must be able to run out.
		const renews = row.reconciled && row.reachable
		if (renews)
			row.leasesExpireBy = Math.max(row.leasesExpireBy, LeaseTiming.getLatestExpiry(sentAt))
		const result = await context.backendClient.renew(row, {
			token: context.token,
			acknowledgedThrough: row.lastAcknowledgedEnd,
			leaseEnd: renews ? sentAt + row.clockOffset + LeaseTiming.duration : undefined,
			wait,
		})
		context.metrics.count('listings', result.kind)
		if (this.stopped) return false
		if (result.kind === 'listed') {
			this.handleListing(result.listing, sentAt)
			return true
		}
		this.handleRenewalError(result, sentAt)
		return false
	}

	private handleListing(listing: RunListing, sentAt: number): void {
		const { row, context } = this
		if (!row.reachable) {
			row.reachable = true
			context.events.info('backend-regained', { backend: row.id })
		}
		if (row.incarnation !== listing.incarnation) this.handleIncarnationChange(listing.incarnation)
		row.clockOffset = listing.clock - context.timers.now()
		const listed = this.updateRunningTasks(listing)
		this.processEnds(listing, listed)
		this.handleUnlistedTasks(listed, sentAt)
		if (row.reconciled) return
		row.reconciled = true
		context.events.info('backend-reconciled', { backend: row.id, running: row.tasks.size })
		this.parts.replan()
	}

	private handleIncarnationChange(incarnation: number): void {
		const { row, context } = this
		const before = row.incarnation
		row.incarnation = incarnation
		row.lastProcessedEnd = 0
		row.lastAcknowledgedEnd = 0
		if (before === 0) return
		context.events.warn('backend-restarted', { backend: row.id, before, incarnation })
		this.parts.taskUpdater.endLostRuns(row, 'backend server restarted')
	}

	private updateRunningTasks(listing: RunListing): Set<string> {
		const { row } = this
		const listed = new Set<string>()
		for (const run of listing.running) {
			const task = row.tasks.get(run.task)
			if (task?.attempt !== run.attempt) {
				this.stopUnexpectedRun(run.task, run.attempt)
				continue
			}
			listed.add(run.task)
			if (run.checkpoint !== '') task.checkpoint = run.checkpoint
			this.updateProgress(task, run.percent)
			if (task.orderState !== 'barred') task.orderState = 'confirmed'
		}
		return listed
	}

	private updateProgress(task: TaskRow, percent: number): void {
		task.percent = percent
		if (!task.step.lasting) return
		if (percent < 100) task.availableSince = undefined
		else task.availableSince ??= this.context.timers.now()
	}

	private processEnds(listing: RunListing, listed: Set<string>): void {
		const { row, parts } = this
		const news = selectNewEnds(listing.ended, row.lastProcessedEnd, (task) =>
			this.mayBeUnread(task)
		)
		row.lastProcessedEnd = news.seen
		for (const end of news.ends) {
			const task = row.tasks.get(end.task)
			if (task?.attempt !== end.attempt) continue
			listed.delete(end.task)
			parts.taskUpdater.endRun(task, end.ending, end.checkpoint, 'listed')
		}
		const { lastProcessedEnd: seenEnds, incarnation } = row
		if (seenEnds <= row.lastAcknowledgedEnd) return
		parts.writer.whenDurable(() => {
			if (row.incarnation !== incarnation) return
			row.lastAcknowledgedEnd = Math.max(row.lastAcknowledgedEnd, seenEnds)
		})
	}

	/** Judges placed tasks that the server does not list. */
	private handleUnlistedTasks(listed: ReadonlySet<string>, sentAt: number): void {
		const { row, parts } = this
		for (const task of [...row.tasks.values()]) {
			if (listed.has(task.id) || task.orderStateChangedAt >= sentAt) continue
			switch (task.orderState) {
				case 'recorded':
				case 'sent':
					break
				case 'confirmed':
				case 'barred':
				case 'inherited':
					parts.taskUpdater.endRun(task, 'lost', '', `not listed, order ${task.orderState}`)
					break
				case 'unclear':
					void parts.dispatcher.stopTask(task)
					break
			}
		}
	}

	/** Whether the task may be of a job that an earlier owner has read and this one has not yet. */
	private mayBeUnread(task: string): boolean {
		return this.context.jobs.getTask(task) === undefined && !this.parts.isIntakeRead()
	}

	private stopUnexpectedRun(task: string, attempt: number): void {
		if (this.mayBeUnread(task)) return
		const now = this.context.timers.now()
		const key = `${task}/${attempt}`
		if ((this.unexpectedRunStops.get(key) ?? -Infinity) > now - UNEXPECTED_RUN_STOP_PAUSE) return
		if (this.unexpectedRunStops.size > 1_000) this.unexpectedRunStops.clear()
		this.unexpectedRunStops.set(key, now)
		this.context.events.warn('run-unwanted', { task, attempt, backend: this.row.id })
		void this.parts.dispatcher.sendStopOrder(this.row, task, attempt)
	}

	private handleRenewalError(
		result: Exclude<RenewalResult, { kind: 'listed' }>,
		now: number
	): void {
		if (result.kind === 'fenced') {
			this.context.endTerm(`renewal refused by ${this.row.id}: fence`)
			return
		}
		// A refused connection proves nothing: a cut network refuses as well. Another server at the
		// address does.
		this.handleUnreachable(`${result.kind}: ${result.detail}`, now, result.kind === 'moved')
	}

	private handleUnreachable(reason: string, now: number, certain = false): void {
		const { row, context, parts } = this
		if (row.reachable) context.events.warn('backend-lost', { backend: row.id, reason })
		row.reachable = false
		for (const task of row.tasks.values()) task.availableSince = undefined
		if (!certain && now < row.leasesExpireBy) return
		if (row.tasks.size === 0) return
		for (const task of row.tasks.values()) {
			if (task.orderState === 'unclear') task.orderState = 'barred'
		}
		parts.taskUpdater.endLostRuns(row, certain ? 'backend server gone' : 'every lease has run out')
	}

	private async waitForDurability(): Promise<void> {
		const { row, context } = this
		if (row.lastProcessedEnd <= row.lastAcknowledgedEnd) return
		await new Promise<void>((resolve) => {
			context.timers.after(MAXIMUM_DURABILITY_WAIT, resolve)
			this.parts.writer.whenDurable(resolve)
		})
	}

	/** Sleeps for a time, or until poked. */
	private sleep(duration: number | undefined): Promise<void> {
		return new Promise((resolve) => {
			if (duration === undefined) this.endSleep = resolve
			else this.context.timers.after(duration, resolve)
		})
	}
}
