import type { TimerService } from '@mastichead/core'
import type { EventLog } from '../logs/EventLog.js'
import type { LogStream } from '../ports/LogStream.js'

/** How far a follower has come when a read fails or succeeds. */
interface ReadPosition {
	readonly loaded: boolean
	readonly nextOffset: number
}

/**
 * Whether the log answers the reads of one stream, and since when.
 *
 * @internal
 */
export class StreamContact {
	/** Whether the latest read succeeded. */
	available = true
	/** Monotonic instant of the last answer from the log; undefined before the first. */
	lastContactAt: number | undefined
	/** Monotonic instant at which the log last became reachable again after a failure. */
	recoveredAt: number | undefined
	/** Instant of the first failed read since the latest answer, and the number of failed reads. */
	private lostAt: number | undefined
	private failedReads = 0

	constructor(
		private readonly stream: LogStream,
		private readonly timers: Pick<TimerService, 'now'>,
		private readonly events: EventLog
	) {}

	/** Monotonic instant of the first failed read since the latest answer; undefined if there is none. */
	get unavailableSince(): number | undefined {
		return this.available ? undefined : this.lostAt
	}

	recordAnswer({ nextOffset: next }: ReadPosition): void {
		const now = this.timers.now()
		this.lastContactAt = now
		if (this.available) return
		this.available = true
		this.recoveredAt = now
		const { stream, failedReads } = this
		const after = Math.round(now - (this.lostAt ?? now))
		this.events.info('log-regained', { stream, next, after, failedReads })
	}

	recordFailure(reason: string, position: ReadPosition): void {
		if (this.available) this.reportLoss(reason, position)
		this.failedReads += 1
		this.available = false
	}

	private reportLoss(reason: string, { loaded, nextOffset: from }: ReadPosition): void {
		this.lostAt = this.timers.now()
		this.failedReads = 0
		const { stream, lastContactAt } = this
		const silence =
			lastContactAt === undefined ? undefined : Math.round(this.lostAt - lastContactAt)
		this.events.warn('log-lost', { stream, reason, from, loaded, silence })
	}
}
