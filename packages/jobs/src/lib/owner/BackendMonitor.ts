import type { BackendRow, TaskRow } from '@mastichead/core'
import type { RenewalResult } from '../ports/RenewalResult.js'
import type { RunListing } from '../ports/RunListing.js'
import { LeaseTiming } from './LeaseTiming.js'
import type { ConcurrencyLimit } from '../ConcurrencyLimit.js'
import type { OrderDispatcher } from './OrderDispatcher.js'
import type { OwnerContext } from './OwnerContext.js'
import type { TaskUpdater } from './TaskUpdater.js'
import type { ProgressWriter } from './ProgressWriter.js'
import { completesTask } from './completesTask.js'
import { selectNewEnds } from './selectNewEnds.js'

/**
 * How long the backend server may hold a listing until a run ends, in milliseconds: while tasks that
 * end by themselves run, and while only lasting tasks run. A lost listing delays ends by this time.
 */
const LISTING_WAIT = 700
const LASTING_LISTING_WAIT = 1_500
/** Pause between two listings, in milliseconds, so that one listing returns several ends. */
const LISTING_PAUSE = 70
/** Pause before the ends of an idle server are acknowledged, in milliseconds. */
const IDLE_ACKNOWLEDGEMENT_PAUSE = 500
/** Pause after a failed listing, in milliseconds: while tasks are placed on the server, and otherwise. */
const FAILURE_PAUSE = 300
const IDLE_FAILURE_PAUSE = 800
/** Maximum time to wait for ends to become durable before the next renewal, in milliseconds. */
const MAXIMUM_DURABILITY_WAIT = 1_500
/** Minimum time between two stop orders for the same unexpected run, in milliseconds. */
const UNEXPECTED_RUN_STOP_PAUSE = 400

/**
 * Renews the leases on one backend server, reads which runs are active or have ended, and updates the
 * tasks. Sends no requests while the server is idle.
 *
 * @public
 */
export class BackendMonitor {
	private stopped = false
	private endIdleSleep: (() => void) | undefined
	/** Time of the latest stop order for each unexpected run, by `TASK/ATTEMPT`. */
	private readonly unexpectedRunStops = new Map<string, number>()
	/** Whether a listing from `requestListing` is in flight. */
	private isExtraListingPending = false

	constructor(
		private readonly context: OwnerContext,
		private readonly row: BackendRow,
		private readonly options: {
			readonly taskUpdater: TaskUpdater
			readonly dispatcher: OrderDispatcher
			readonly writer: ProgressWriter
			/** Limits of the first listing of each server and of its repetitions, shared by all monitors. */
			readonly firstListings: ConcurrencyLimit
			readonly repeatedListings: ConcurrencyLimit
			readonly replan: () => void
			/** Whether every job that an earlier owner may have started has been read. */
			readonly isIntakeRead: () => boolean
		}
	) {}

	start(): void {
		this.run().catch(this.context.fail)
	}

	stop(): void {
		this.stopped = true
		this.wakeUp()
	}

	/** Ends the idle wait after a placement on the server or a change of its registration. */
	wakeUp(): void {
		this.endIdleSleep?.()
	}

	/** Requests a listing immediately, in parallel to one that waits for an end. */
	requestListing(): void {
		if (this.isExtraListingPending || this.stopped) return
		this.isExtraListingPending = true
		const listing = this.renew(0).finally(() => {
			this.isExtraListingPending = false
		})
		listing.catch(this.context.fail)
	}

	private async run(): Promise<void> {
		while (!this.stopped) {
			if (!this.isNeeded()) {
				await this.sleep(undefined)
				continue
			}
			const wasReachable = this.row.reachable
			const listed = await this.readListing()
			const isFirstFailure = wasReachable && !this.row.reachable
			// A single lost answer is followed by another request at once, before the leases expire.
			if (listed) await this.sleep(LISTING_PAUSE)
			else if (!isFirstFailure) await this.sleep(this.getFailurePause())
			if (listed && this.row.tasks.size === 0) await this.sleep(IDLE_ACKNOWLEDGEMENT_PAUSE)
			await this.waitForDurability()
		}
	}

	/**
	 * Renews the leases and reads a listing. The first listings of a term are limited in number, and
	 * those that failed wait behind the others: together they would fill a narrow link, and delay each
	 * other and the renewal of the ownership beyond their timeouts.
	 */
	private async readListing(): Promise<boolean> {
		const { row, options } = this
		const renew = (): Promise<boolean> => this.renew(this.getListingWait())
		if (row.reconciled) return renew()
		return (row.reachable ? options.firstListings : options.repeatedListings).run(renew)
	}

	private getListingWait(): number {
		const { reconciled, reachable, tasks } = this.row
		// Until an unreachable server has answered, its leases are not renewed.
		if (!reconciled || !reachable || tasks.size === 0) return 0
		for (const task of tasks.values()) if (!task.step.lasting) return LISTING_WAIT
		return LASTING_LISTING_WAIT
	}

	private getFailurePause(): number {
		return this.row.tasks.size > 0 ? FAILURE_PAUSE : IDLE_FAILURE_PAUSE
	}

	/** Whether there is a reason to send renewals. */
	private isNeeded(): boolean {
		const { row } = this
		if (row.address === '') return row.tasks.size > 0
		const hasUnacknowledgedEnds = row.lastProcessedEnd > row.lastAcknowledgedEnd
		const isUnusable = !row.reconciled || !row.reachable
		if (row.tasks.size > 0 || row.hasUnreadRuns || hasUnacknowledgedEnds) return true
		return row.registered && isUnusable
	}

	/** Renews the leases and reads a listing. Returns whether the server answered with a listing. */
	private async renew(wait: number): Promise<boolean> {
		const { row, context } = this
		if (!context.mayAct()) return false
		const sentAt = context.timers.now()
		if (row.address === '') {
			this.handleUnreachable('no address', sentAt)
			return false
		}
		// An unreachable server gets no new leases, so that the leases of its runs can expire.
		const renewsLeases = row.reconciled && row.reachable
		if (renewsLeases)
			row.leasesExpireBy = Math.max(row.leasesExpireBy, LeaseTiming.getLatestExpiry(sentAt))
		const result = await context.backendClient.renew(row, {
			token: context.token,
			acknowledged: { incarnation: row.incarnation, through: row.lastAcknowledgedEnd },
			leaseEnd: renewsLeases ? sentAt + row.clockOffset + LeaseTiming.duration : undefined,
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
		row.hasUnreadRuns = [...listing.running, ...listing.ended].some(({ task }) =>
			this.mayBeUnread(task)
		)
		const listed = this.updateRunningTasks(listing)
		this.processEnds(listing, listed)
		if (listing.isComplete) this.handleUnlistedTasks(listed, sentAt)
		if (row.reconciled) return
		row.reconciled = true
		context.events.info('backend-reconciled', { backend: row.id, running: row.tasks.size })
		this.options.replan()
	}

	/**
	 * Handles a server that has started again under its id. Runs that the listing does not name have
	 * ended with the process before; those that it names began after the restart.
	 */
	private handleIncarnationChange(incarnation: number): void {
		const { row, context } = this
		const previous = row.incarnation
		row.incarnation = incarnation
		row.lastProcessedEnd = 0
		row.lastAcknowledgedEnd = 0
		if (previous === 0) return
		// The request that shows the restart may have asked for a lease on the clock before.
		const latestExpiry = LeaseTiming.getLatestGrantedExpiry(context.timers.now())
		row.leasesExpireBy = Math.max(row.leasesExpireBy, latestExpiry)
		context.events.warn('backend-restarted', { backend: row.id, before: previous, incarnation })
	}

	/** Updates the tasks that are listed as running and returns their ids. */
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
			this.confirmOrder(task)
		}
		return listed
	}

	private confirmOrder(task: TaskRow): void {
		if (task.orderState === 'confirmed' || task.orderState === 'barred') return
		task.orderState = 'confirmed'
		// A listing that was requested before may still arrive, without the run.
		task.orderStateChangedAt = this.context.timers.now()
	}

	private updateProgress(task: TaskRow, percent: number): void {
		task.percent = percent
		if (!task.step.lasting) return
		if (percent < 100) task.availableSince = undefined
		else task.availableSince ??= this.context.timers.now()
	}

	private processEnds(listing: RunListing, listed: Set<string>): void {
		const { row, options } = this
		const newEnds = selectNewEnds(listing.ended, row.lastProcessedEnd, (task) =>
			this.mayBeUnread(task)
		)
		row.lastProcessedEnd = newEnds.lastProcessedEnd
		for (const end of newEnds.ends) {
			const task = row.tasks.get(end.task)
			if (task?.attempt === end.attempt) {
				listed.delete(end.task)
				options.taskUpdater.endRun(task, end.ending, end.checkpoint, 'listed')
			} else this.processEarlierEnd(end)
		}
		const { lastProcessedEnd, incarnation } = row
		if (lastProcessedEnd <= row.lastAcknowledgedEnd) return
		options.writer.whenWritten(() => {
			if (row.incarnation !== incarnation) return
			row.lastAcknowledgedEnd = Math.max(row.lastAcknowledgedEnd, lastProcessedEnd)
		})
	}

	/** Handles the end of a run that is not the current one of its task. */
	private processEarlierEnd(end: RunListing['ended'][number]): void {
		const { context, row, options } = this
		const task = context.jobs.getTask(end.task)
		if (!task || task.phase === 'done') return
		const completes = completesTask(task, end)
		const { attempt, ending } = end
		const { phase, attempt: currentAttempt } = task
		const details = { task: task.id, attempt, backend: row.id, ending, phase, currentAttempt }
		context.events.info('earlier-run-ended', { ...details, completes })
		if (completes) options.taskUpdater.endRun(task, 'done', end.checkpoint, 'listed late')
	}

	/** Handles placed tasks that the server does not list. */
	private handleUnlistedTasks(listed: ReadonlySet<string>, sentAt: number): void {
		const { row, options } = this
		const age = Math.round(this.context.timers.now() - sentAt)
		const listing = `listing of ${row.incarnation} requested ${age} ms ago, ends read to ${row.lastProcessedEnd}`
		for (const task of [...row.tasks.values()]) {
			// The listing may be older than an order whose state changed after it was requested.
			if (listed.has(task.id) || task.orderStateChangedAt >= sentAt) continue
			switch (task.orderState) {
				case 'recorded':
				case 'sent':
					// The answer to the start order decides.
					break
				case 'confirmed':
				case 'barred':
				case 'inherited':
					options.taskUpdater.endRun(
						task,
						'lost',
						'',
						`not listed, order ${task.orderState}, ${listing}`
					)
					break
				case 'unclear':
					options.dispatcher.stopTask(task).catch(this.context.fail)
					break
			}
		}
	}

	/** Whether the task may belong to a job that earlier owners have read, but this one has not yet. */
	private mayBeUnread(task: string): boolean {
		return this.context.jobs.getTask(task) === undefined && !this.options.isIntakeRead()
	}

	private stopUnexpectedRun(task: string, attempt: number): void {
		if (this.mayBeUnread(task)) return
		const now = this.context.timers.now()
		const key = `${task}/${attempt}`
		if ((this.unexpectedRunStops.get(key) ?? -Infinity) > now - UNEXPECTED_RUN_STOP_PAUSE) return
		if (this.unexpectedRunStops.size > 1_000) this.unexpectedRunStops.clear()
		this.unexpectedRunStops.set(key, now)
		this.context.events.warn('run-unwanted', { task, attempt, backend: this.row.id })
		const order = this.options.dispatcher.sendStopOrder(this.row, task, attempt)
		order.catch(this.context.fail)
	}

	private handleRenewalError(
		result: Exclude<RenewalResult, { kind: 'listed' }>,
		sentAt: number
	): void {
		if (result.kind === 'fenced') {
			this.context.endTerm(`renewal refused by ${this.row.id}: fence`)
			return
		}
		// Another incarnation at the address proves that the server is gone. A refused connection does
		// not, because a network partition can also refuse connections.
		this.handleUnreachable(`${result.kind}: ${result.detail}`, sentAt, result.kind === 'moved')
	}

	/**
	 * Marks the server as unreachable, and ends its runs once they cannot be active any more.
	 *
	 * @param sentAt - monotonic instant at which the failed renewal was sent
	 * @param isGone - whether the server is known to be gone, so that its leases need not expire first
	 */
	private handleUnreachable(reason: string, sentAt: number, isGone = false): void {
		const { row, context, options } = this
		if (row.reachable) context.events.warn('backend-lost', { backend: row.id, reason })
		row.reachable = false
		for (const task of row.tasks.values()) task.availableSince = undefined
		if (!isGone && sentAt < row.leasesExpireBy) return
		if (row.tasks.size === 0) return
		for (const task of row.tasks.values()) {
			if (task.orderState === 'unclear') task.orderState = 'barred'
		}
		options.taskUpdater.endLostRuns(row, isGone ? 'backend server gone' : 'all leases have expired')
	}

	private async waitForDurability(): Promise<void> {
		const { row, context } = this
		if (row.lastProcessedEnd <= row.lastAcknowledgedEnd) return
		await new Promise<void>((resolve) => {
			context.timers.after(MAXIMUM_DURABILITY_WAIT, resolve)
			this.options.writer.whenWritten(resolve)
		})
	}

	/** Sleeps for `duration` milliseconds, or until `wakeUp` is called if it is undefined. */
	private sleep(duration: number | undefined): Promise<void> {
		return new Promise((resolve) => {
			if (duration === undefined) this.endIdleSleep = resolve
			else this.context.timers.after(duration, resolve)
		})
	}
}
