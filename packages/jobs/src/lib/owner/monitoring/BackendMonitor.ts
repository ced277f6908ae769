import type { BackendRow, ContactLoss, TaskRow } from '@mastichead/core'
import { hasRuns, noResources } from '@mastichead/core'
import { formatError } from '../../logs/formatError.js'
import type { RenewalResult } from '../../ports/RenewalResult.js'
import type { RunListing } from '../../ports/RunListing.js'
import { LeaseTiming } from '../leases/LeaseTiming.js'
import type { ConcurrencyLimit } from '../../ConcurrencyLimit.js'
import type { MonitorOptions } from './MonitorOptions.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import { RunReconciler } from './RunReconciler.js'

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
/** Pause before a server is looked at again whose service is not configured, in milliseconds. */
const UNUSED_SERVICE_PAUSE = 500
/** Minimum time until the leases of an unreachable server are looked at again, in milliseconds. */
const MINIMUM_EXPIRY_CHECK = 100
/** Reason of the end of runs whose leases cannot hold any more. */
const LEASES_EXPIRED = 'all leases have expired'
/** Maximum time to wait for ends to become durable before the next renewal, in milliseconds. */
const MAXIMUM_DURABILITY_WAIT = 1_500

/**
 * Renews the leases on one backend server, reads which runs are active or have ended, and updates the
 * tasks. Sends no requests while the server is idle.
 *
 * @public
 */
export class BackendMonitor {
	private stopped = false
	private endIdleSleep: (() => void) | undefined
	/** Whether a listing from `requestListing` is in flight. */
	private isExtraListingPending = false
	private isExpiryScheduled = false
	/** The latest unexpected error, which is not logged again if it recurs. */
	private latestError: string | undefined
	private readonly reconciler: RunReconciler

	constructor(
		private readonly context: OwnerContext,
		private readonly row: BackendRow,
		private readonly options: MonitorOptions & {
			/** Limits of the first listing of each server and of its repetitions, shared by all monitors. */
			readonly firstListings: ConcurrencyLimit
			readonly repeatedListings: ConcurrencyLimit
		}
	) {
		this.reconciler = new RunReconciler(context, row, options)
	}

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
		listing
			.catch((error: unknown) => {
				this.handleUnexpectedError(error)
			})
			.catch(this.context.fail)
	}

	/** Runs until the monitor is stopped. An unexpected error about one server must not affect the others. */
	private async run(): Promise<void> {
		while (!this.stopped) {
			try {
				await this.runOnce()
			} catch (error) {
				this.handleUnexpectedError(error)
				await this.sleep(this.getFailurePause())
			}
		}
	}

	private async runOnce(): Promise<void> {
		if (!this.isNeeded()) {
			// The next configuration may name the service of a server that is unusable now.
			await this.sleep(this.isUnusable() ? UNUSED_SERVICE_PAUSE : undefined)
			return
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

	/** Treats the server as unreachable, so that its leases expire and its tasks can run elsewhere. */
	private handleUnexpectedError(error: unknown): void {
		const { context, row } = this
		if (this.stopped) return
		context.metrics.count('unexpected_errors', 'monitor')
		if (String(error) !== this.latestError)
			context.events.error('backend-monitor-failed', { backend: row.id, error: formatError(error) })
		this.latestError = String(error)
		this.handleUnreachable('unexpected error', -Infinity, 'silence')
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
		this.endExpiredRuns()
		return (row.reachable ? options.firstListings : options.repeatedListings).run(renew)
	}

	/** Ends runs whose leases have expired according to the log, without waiting for a listing to fail. */
	private endExpiredRuns(): void {
		const { row, context, options } = this
		if (options.leases.mayRenew(row) || context.timers.now() < options.leases.getExpiry(row)) return
		this.endLostRuns()
	}

	private endLostRuns(): void {
		const { row, options } = this
		for (const task of row.tasks.values()) {
			if (task.orderState === 'unclear') task.orderState = 'barred'
		}
		const isOver = (task: TaskRow): boolean => options.leases.isOver(task)
		options.crashes.handleLeasesExpired(row, [...row.tasks.values()].filter(isOver))
		options.taskUpdater.endLostRuns(row, LEASES_EXPIRED, isOver)
		options.unreadRuns.handleLeasesExpired(row)
	}

	/** Ends the runs when their leases expire, unless the server has answered by then. */
	private scheduleExpiry(): void {
		const { row, context, options } = this
		if (this.isExpiryScheduled || !hasRuns(row)) return
		this.isExpiryScheduled = true
		const remaining = options.leases.getExpiry(row) - context.timers.now()
		context.timers.after(Math.max(remaining + 1, MINIMUM_EXPIRY_CHECK), () => {
			this.isExpiryScheduled = false
			if (this.stopped || row.reachable || !context.mayAct()) return
			this.endExpiredRuns()
			this.scheduleExpiry()
		})
	}

	private getListingWait(): number {
		const { reconciled, reachable, tasks } = this.row
		// Until an unreachable server has answered, its leases are not renewed.
		if (!reconciled || !reachable || tasks.size === 0) return 0
		for (const task of tasks.values()) if (!task.step.lasting) return LISTING_WAIT
		return LASTING_LISTING_WAIT
	}

	private getFailurePause(): number {
		return hasRuns(this.row) ? FAILURE_PAUSE : IDLE_FAILURE_PAUSE
	}

	/** Whether there is a reason to send renewals. */
	private isNeeded(): boolean {
		const { row } = this
		if (row.address === '') return hasRuns(row)
		const hasUnacknowledgedEnds = row.lastProcessedEnd > row.lastAcknowledgedEnd
		if (hasRuns(row) || row.listsUnreadRuns || hasUnacknowledgedEnds) return true
		if (row.unexpected !== noResources) return true
		return this.isUnusable() && this.context.getConfiguration().services.has(row.service)
	}

	/** Whether the server is registered and has to be listed before it can be used. */
	private isUnusable(): boolean {
		const { registered, reconciled, reachable } = this.row
		return registered && !(reconciled && reachable)
	}

	/** Renews the leases and reads a listing. Returns whether the server answered with a listing. */
	private async renew(wait: number): Promise<boolean> {
		const { row, context } = this
		if (!context.mayAct()) return false
		const sentAt = context.timers.now()
		if (row.address === '') {
			this.handleUnreachable('no address', sentAt, 'silence')
			return false
		}
		// An unreachable server gets no new leases, so that the leases of its runs can expire.
		const renewsLeases = row.reconciled && row.reachable && this.options.leases.mayRenew(row)
		if (renewsLeases)
			row.leasesExpireBy = Math.max(row.leasesExpireBy, LeaseTiming.getLatestExpiry(sentAt))
		const result = await context.backendClient.renew(row, {
			token: context.token,
			acknowledged: { incarnation: row.incarnation, through: row.lastAcknowledgedEnd },
			leaseEnd: renewsLeases
				? LeaseTiming.getLeaseEnd(sentAt, row.clockOffset, row.clockReadAt)
				: undefined,
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
		const { row, context, options } = this
		this.reconciler.apply(listing, sentAt)
		if (!row.reconciled) {
			row.reconciled = true
			options.leases.handleReconciled(row)
			context.events.info('backend-reconciled', { backend: row.id, running: row.tasks.size })
			options.replan()
		}
		if (!row.reachable) this.regain()
	}

	/** Uses the server again once its leases may be renewed. */
	private regain(): void {
		const { row, context, options } = this
		options.leases.resume(row, () => {
			row.reachable = true
			row.contactLoss = undefined
			context.events.info('backend-regained', { backend: row.id })
			options.replan()
		})
	}

	private handleRenewalError(
		result: Exclude<RenewalResult, { kind: 'listed' }>,
		sentAt: number
	): void {
		if (result.kind === 'fenced') {
			this.context.endTerm(`renewal refused by ${this.row.id}: fence`)
			return
		}
		const reason = `${result.kind}: ${result.detail}`
		// Another incarnation at the address proves that the server is gone. A refused connection does
		// not, because a network partition can also refuse connections.
		if (result.kind === 'moved') this.handleGone(reason, sentAt)
		else this.handleUnreachable(reason, sentAt, getContactLoss(result.kind))
	}

	/**
	 * Marks the server as unreachable, and ends its runs once they cannot be active any more.
	 *
	 * @param sentAt - monotonic instant at which the failed renewal was sent
	 */
	private handleUnreachable(reason: string, sentAt: number, contactLoss: ContactLoss): void {
		const { row, context, options } = this
		if (row.reachable) context.events.warn('backend-lost', { backend: row.id, reason })
		// A single lost answer is no reason to give up the leases of this term.
		if (hasRuns(row) && !(row.reconciled && row.reachable)) options.leases.suspend(row)
		row.reachable = false
		row.contactLoss ??= contactLoss
		for (const task of row.tasks.values()) task.availableSince = undefined
		if (sentAt >= options.leases.getExpiry(row)) this.endLostRuns()
		else this.scheduleExpiry()
	}

	/** Ends the runs of a server whose process has ended, so that its leases need not expire first. */
	private handleGone(reason: string, sentAt: number): void {
		const { row, options } = this
		const { crashes, taskUpdater } = options
		crashes.handleProcessEnd(row, crashes.getIncarnation(row), reason, [...row.tasks.values()])
		this.handleUnreachable(reason, sentAt, 'closed')
		taskUpdater.endLostRuns(row, 'backend server gone')
		options.unreadRuns.handleProcessEnd(row)
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

function getContactLoss(failure: 'refused' | 'closed' | 'unavailable'): ContactLoss {
	return failure === 'unavailable' ? 'silence' : 'closed'
}
