import type { TimerService } from '@mastichead/core'
import { JobRecords } from '../../log/JobRecords.js'
import type { TermHistory } from '../../log/TermHistory.js'
import type { EventLog } from '../../logs/EventLog.js'
import type { MetadataLog } from '../../ports/MetadataLog.js'

/** Timeout of one append, in milliseconds. */
const APPEND_TIMEOUT = 700
/** Pause before an append is repeated, in milliseconds. */
const RETRY_PAUSE = 200
/** Number of attempts; by then the next owner does not need the record any more. */
const MAXIMUM_ATTEMPTS = 8

/**
 * Records the ends of terms of ownership that processes of this instance held, so that the next owner
 * need not wait until their permission to send orders must have run out.
 *
 * @internal
 */
export class TermReporter {
	constructor(
		private readonly options: {
			readonly instance: string
			readonly terms: TermHistory
			readonly log: MetadataLog
			readonly timers: TimerService
			readonly events: EventLog
		}
	) {}

	/** Records that nothing is sent in a term of this process any more. */
	async reportEnd(token: number): Promise<void> {
		const { terms, timers } = this.options
		terms.recordEnd(token, timers.now())
		await this.append(token)
	}

	/**
	 * Records the ends of terms that earlier processes of this instance held. They have ended, since
	 * this process listens at their addresses.
	 */
	async reportEarlierProcesses(): Promise<void> {
		const { instance, terms } = this.options
		await Promise.all(terms.getTokensOf(instance).map((token) => this.reportEnd(token)))
	}

	private async append(token: number): Promise<void> {
		const { log, timers, events } = this.options
		const records = [JobRecords.createTermTombstone(token)]
		for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt += 1) {
			const result = await log.append('progress', records, APPEND_TIMEOUT)
			events.info('term-end-recorded', { token, attempt, ...result })
			if (result.kind === 'appended') return
			await new Promise<void>((resolve) => timers.after(RETRY_PAUSE, resolve))
		}
	}
}
