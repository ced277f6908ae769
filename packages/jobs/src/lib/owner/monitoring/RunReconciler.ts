import type { BackendRow, Resources, TaskId, TaskRow } from '@mastichead/core'
import {
	addResources,
	getReservedResources,
	isOnProbation,
	noResources,
	unlimitedResources,
} from '@mastichead/core'
import type { RunListing } from '../../ports/RunListing.js'
import { completesTask } from './completesTask.js'
import type { MonitorOptions } from './MonitorOptions.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import { selectNewEnds } from './selectNewEnds.js'

/** Minimum time between two stop orders for the same unexpected run, in milliseconds. */
const UNEXPECTED_RUN_STOP_PAUSE = 400

/**
 * Compares the listings of one backend server with the tasks placed there: confirms orders, ends runs
 * that have ended or are gone, and stops runs that nobody wants.
 *
 * @internal
 */
export class RunReconciler {
	/** Time of the latest stop order for each unexpected run, by `TASK/ATTEMPT`. */
	private readonly unexpectedRunStops = new Map<string, number>()

	constructor(
		private readonly context: OwnerContext,
		private readonly row: BackendRow,
		private readonly options: MonitorOptions
	) {}

	/**
	 * Applies a listing.
	 *
	 * @param sentAt - monotonic instant at which it was requested, in milliseconds
	 */
	apply(listing: RunListing, sentAt: number): void {
		const { row, context } = this
		if (row.incarnation !== listing.incarnation) this.handleIncarnationChange(listing)
		this.options.crashes.handleListed(row, listing.incarnation)
		this.recordBegins(listing)
		row.clockOffset = listing.clock - context.timers.now()
		row.clockReadAt = context.timers.now()
		row.listsUnreadRuns = [...listing.running, ...listing.ended].some(({ task }) =>
			this.mayBeUnread(task)
		)
		const listed = this.updateRunningTasks(listing, sentAt)
		this.processEnds(listing, listed)
		if (listing.isComplete) this.handleUnlistedTasks(listed, sentAt)
		this.options.unreadRuns.handleListed(row, listing)
	}

	/**
	 * Handles a server that has started again under its id. Runs that the listing does not name have
	 * ended with the process before; those that it names began after the restart.
	 */
	private handleIncarnationChange(listing: RunListing): void {
		const { row, context } = this
		const { incarnation } = listing
		const previous = row.incarnation
		this.handleProcessEnd(listing)
		row.incarnation = incarnation
		row.lastProcessedEnd = 0
		row.lastAcknowledgedEnd = 0
		if (previous === 0) return
		// The request that shows the restart may have asked for a lease on the clock before.
		this.options.leases.recordLongLease(row)
		context.events.warn('backend-restarted', { backend: row.id, before: previous, incarnation })
	}

	/** Handles the end of the process before, which may have crashed under the tasks not listed now. */
	private handleProcessEnd(listing: RunListing): void {
		const { row, options } = this
		const known = options.crashes.getIncarnation(row)
		if (known === 0 || known === listing.incarnation) return
		const isListed = ({ id, attempt }: TaskRow): boolean =>
			[...listing.running, ...listing.ended].some(
				(run) => run.task === id && run.attempt === attempt
			)
		const runs = [...row.tasks.values()].filter((task) => !isListed(task))
		options.crashes.handleProcessEnd(row, known, 'its id names another process', runs)
	}

	/** Records which jobs have begun, also by runs that are not the current ones of their tasks. */
	private recordBegins({ running, ended }: RunListing): void {
		for (const run of [...running, ...ended]) {
			const job = this.context.jobs.getTask(run.task)?.job
			if (job) this.options.taskUpdater.recordBegin(job)
		}
	}

	/** Updates the tasks that are listed as running and returns their ids. */
	private updateRunningTasks(listing: RunListing, sentAt: number): Set<string> {
		const { row } = this
		const listed = new Set<string>()
		row.unexpected = noResources
		for (const run of listing.running) {
			const task = row.tasks.get(run.task)
			if (task?.attempt !== run.attempt) {
				this.handleUnexpectedRun(run.task, run.attempt)
				continue
			}
			listed.add(run.task)
			if (run.checkpoint !== '') task.checkpoint = run.checkpoint
			this.recordListed(task, sentAt)
			this.updateProgress(task, run.percent)
			this.confirmOrder(task)
		}
		return listed
	}

	private recordListed(task: TaskRow, sentAt: number): void {
		const wasOnProbation = isOnProbation(task)
		task.listedAt = Math.max(task.listedAt, sentAt)
		if (wasOnProbation && !isOnProbation(task)) this.options.replan()
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
		for (const end of newEnds.ends) {
			const task = row.tasks.get(end.task)
			if (task?.attempt === end.attempt) {
				listed.delete(end.task)
				options.taskUpdater.endRun(task, end.ending, end.checkpoint, 'listed')
			} else this.processEarlierEnd(end)
		}
		// Only now, so that no end counts as processed after an unexpected error.
		row.lastProcessedEnd = newEnds.lastProcessedEnd
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

	/** Stops a run that no task is placed for. Until it has ended, it takes room. */
	private handleUnexpectedRun(task: string, attempt: number): void {
		const { row } = this
		row.unexpected = addResources(row.unexpected, this.getReserved(task))
		this.stopUnexpectedRun(task, attempt)
	}

	/** Returns what a run reserves on the server; without a limit if that is not known. */
	private getReserved(task: TaskId): Resources {
		const known = this.context.jobs.getTask(task)?.step ?? this.row.unreadRuns.get(task)?.use
		return known ? getReservedResources(known) : unlimitedResources
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
}
