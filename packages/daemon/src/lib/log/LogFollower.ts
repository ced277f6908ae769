import type { Milliseconds, Subscription, TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { LogClient } from './LogClient.js'
import type { LogRecord } from './LogRecord.js'
import type { LogReplica } from './LogReplica.js'
import { LogRestorer } from './LogRestorer.js'
import type { ReadOutcome } from './ReadOutcome.js'

const MAXIMUM_PAGE_RECORDS = 1000
const LONG_POLL_MILLISECONDS = 2000
/** How long a response may take in addition to the long poll. */
const MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS = 1000
const MAXIMUM_RESPONSE_TIMEOUT_MILLISECONDS = 8000
/**
 * Factor applied to the response timeout after each response. The timeout falls slowly, so that a
 * slow platform does not cause a timeout on every read.
 */
const RESPONSE_TIMEOUT_DECAY_FACTOR = 0.9
/** Factors applied to the size of a page after each failed read, and after each response. */
const PAGE_REDUCTION_FACTOR = 0.5
const PAGE_GROWTH_FACTOR = 1.5
const INITIAL_BACKOFF_MILLISECONDS = 100
const MAXIMUM_BACKOFF_MILLISECONDS = 1600

/**
 * Follows the platform's log by long polling. If the next records have expired, restores the
 * replica from the newest snapshot in the log and the records after it.
 *
 * @internal
 */
export class LogFollower {
	private restorer: LogRestorer | undefined
	private lastContactAt: Milliseconds | undefined
	private hasCaughtUp = false
	private isStopped = false
	private responseTimeout: Milliseconds = MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS
	/** Number of records to ask for, so that a response arrives within its timeout on any link. */
	private pageRecords = MAXIMUM_PAGE_RECORDS
	private backoff: Milliseconds = 0
	private backoffTimer: Subscription | undefined
	private endBackoff: (() => void) | undefined

	constructor(
		private readonly timers: TimerService,
		private readonly client: LogClient,
		private readonly replica: LogReplica,
		private readonly logger: Logger
	) {}

	/** Instant before the last read applied to the replica was sent; undefined before the first. */
	get platformContactAt(): Milliseconds | undefined {
		return this.lastContactAt
	}

	/** Whether the end of the log has been reached since the start. */
	get isCaughtUp(): boolean {
		return this.hasCaughtUp
	}

	/** Reads and applies records until stopped. */
	async run(): Promise<void> {
		while (!this.isStopped) {
			const sentAt = this.timers.now()
			const wait = this.hasCaughtUp && !this.restorer ? LONG_POLL_MILLISECONDS : 0
			const from = this.restorer?.nextOffset ?? this.replica.state.offset + 1
			const outcome = await this.client.read(
				from,
				this.pageRecords,
				wait,
				wait + this.responseTimeout
			)
			this.handleRead(outcome, sentAt)
			await this.waitForBackoff()
		}
	}

	stop(): void {
		this.isStopped = true
		this.backoffTimer?.cancel()
		this.endBackoff?.()
	}

	private handleRead(outcome: ReadOutcome, sentAt: Milliseconds): void {
		if (this.isStopped) return
		if (outcome.type === 'failed') {
			this.handleFailure(outcome.reason, sentAt)
			return
		}
		this.responseTimeout = Math.max(
			MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
			this.responseTimeout * RESPONSE_TIMEOUT_DECAY_FACTOR
		)
		this.pageRecords = Math.min(
			MAXIMUM_PAGE_RECORDS,
			Math.ceil(this.pageRecords * PAGE_GROWTH_FACTOR)
		)
		this.backoff = 0
		if (outcome.type === 'expired') {
			this.handleExpired(outcome.firstOffset)
			return
		}
		if (this.restorer) {
			this.continueRestoring(this.restorer, outcome.records)
		} else {
			this.replica.apply(outcome.records)
			this.hasCaughtUp ||= outcome.records.length === 0
		}
		if (!this.restorer) this.lastContactAt = sentAt
	}

	/** Finishes restoring once the end of the log is reached and a snapshot has been found. */
	private continueRestoring(restorer: LogRestorer, records: readonly LogRecord[]): void {
		restorer.add(records)
		if (records.length > 0) return
		if (!restorer.state) {
			this.logger.error('log-without-snapshot', { next: restorer.nextOffset })
			this.backoff = MAXIMUM_BACKOFF_MILLISECONDS
			return
		}
		this.restorer = undefined
		const { state, tail } = restorer
		const restored = this.replica.restore(state)
		this.replica.apply(tail)
		this.hasCaughtUp = true
		this.logger.info('log-restored', { through: state.offset, tail: tail.length, restored })
	}

	private handleExpired(first: number): void {
		const next = this.replica.state.offset + 1
		this.logger.warn('log-expired', { next, first })
		this.restorer = first > next ? new LogRestorer(first, this.logger) : undefined
	}

	private handleFailure(reason: string, sentAt: Milliseconds): void {
		this.logger.warn('log-read-failed', { reason })
		this.pageRecords = Math.max(1, Math.floor(this.pageRecords * PAGE_REDUCTION_FACTOR))
		if (this.timers.now() - sentAt >= this.responseTimeout) {
			this.responseTimeout = Math.min(
				MAXIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
				this.responseTimeout * 2
			)
		}
		this.backoff = Math.min(
			MAXIMUM_BACKOFF_MILLISECONDS,
			Math.max(INITIAL_BACKOFF_MILLISECONDS, this.backoff * 2)
		)
	}

	private async waitForBackoff(): Promise<void> {
		if (this.backoff === 0 || this.isStopped) return
		await new Promise<void>((resolve) => {
			this.endBackoff = resolve
			this.backoffTimer = this.timers.after(this.backoff, resolve)
		})
	}
}
