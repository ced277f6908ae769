import type { Milliseconds, Subscription, TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { FoldedLog } from './FoldedLog.js'
import type { LogClient } from './LogClient.js'
import type { LogRead } from './LogRead.js'
import type { LogRecord } from './LogRecord.js'
import { LogRestorer } from './LogRestorer.js'

const PAGE_RECORDS = 1000
const WAIT_MILLISECONDS = 2000
const FIRST_SLACK_MILLISECONDS = 1000
const MAXIMUM_SLACK_MILLISECONDS = 8000
/** Factor of the slack after an answer, so that a slow platform is not timed out each time. */
const SLACK_DECAY = 0.9
const FIRST_BACKOFF_MILLISECONDS = 100
const MAXIMUM_BACKOFF_MILLISECONDS = 1600

/**
 * Follows the platform's log by long reads. When the records that come next have expired, it
 * starts again from the newest snapshot in the log and the records after it.
 *
 * @internal
 */
export class LogFollower {
	private restorer: LogRestorer | undefined
	private contactAt: Milliseconds | undefined
	private caughtUp = false
	private stopped = false
	private slack: Milliseconds = FIRST_SLACK_MILLISECONDS
	private backoff: Milliseconds = 0
	private pause: Subscription | undefined
	private resume: (() => void) | undefined

	constructor(
		private readonly timers: TimerService,
		private readonly client: LogClient,
		private readonly log: FoldedLog,
		private readonly logger: Logger
	) {}

	/** When the last read that got an answer was sent. */
	get platformContactAt(): Milliseconds | undefined {
		return this.contactAt
	}

	/** Whether it has reached the end of the log since it was started. */
	get isCaughtUp(): boolean {
		return this.caughtUp
	}

	/** Follows until stopped. */
	async run(): Promise<void> {
		while (!this.stopped) {
			const askedAt = this.timers.now()
			const wait = this.caughtUp && !this.restorer ? WAIT_MILLISECONDS : 0
			const from = this.restorer?.next ?? this.log.state.offset + 1
			const read = await this.client.read(from, PAGE_RECORDS, wait, wait + this.slack)
			this.take(read, askedAt)
			await this.rest()
		}
	}

	stop(): void {
		this.stopped = true
		this.pause?.cancel()
		this.resume?.()
	}

	private take(read: LogRead, askedAt: Milliseconds): void {
		if (this.stopped) return
		if (read.type === 'failed') {
			this.fail(read.reason, askedAt)
			return
		}
		this.slack = Math.max(FIRST_SLACK_MILLISECONDS, this.slack * SLACK_DECAY)
		this.backoff = 0
		if (read.type === 'expired') {
			this.restart(read.first)
			return
		}
		if (this.restorer) {
			this.takeRestoring(this.restorer, read.records)
		} else {
			this.log.take(read.records)
			this.caughtUp ||= read.records.length === 0
		}
		if (!this.restorer) this.contactAt = askedAt
	}

	/** Ends restoring once the end of the log is reached and a snapshot was met on the way. */
	private takeRestoring(restorer: LogRestorer, records: readonly LogRecord[]): void {
		restorer.take(records)
		if (records.length > 0) return
		if (!restorer.state) {
			this.logger.error('log-without-snapshot', { next: restorer.next })
			this.backoff = MAXIMUM_BACKOFF_MILLISECONDS
			return
		}
		this.restorer = undefined
		const { state, tail } = restorer
		const restored = this.log.restore(state)
		this.log.take(tail)
		this.caughtUp = true
		this.logger.info('log-restored', { through: state.offset, tail: tail.length, restored })
	}

	private restart(first: number): void {
		const next = this.log.state.offset + 1
		this.logger.warn('log-expired', { next, first })
		this.restorer = first > next ? new LogRestorer(first, this.logger) : undefined
	}

	private fail(reason: string, askedAt: Milliseconds): void {
		this.logger.warn('log-read-failed', { reason })
		if (this.timers.now() - askedAt >= this.slack) {
			this.slack = Math.min(MAXIMUM_SLACK_MILLISECONDS, this.slack * 2)
		}
		this.backoff = Math.min(
			MAXIMUM_BACKOFF_MILLISECONDS,
			Math.max(FIRST_BACKOFF_MILLISECONDS, this.backoff * 2)
		)
	}

	private async rest(): Promise<void> {
		if (this.backoff === 0 || this.stopped) return
		await new Promise<void>((resolve) => {
			this.resume = resolve
			this.pause = this.timers.after(this.backoff, resolve)
		})
	}
}
