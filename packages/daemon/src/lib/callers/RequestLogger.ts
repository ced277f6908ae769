import type { AttemptOutcome, BackendServerId, Milliseconds, Verdict } from '@mastichead/core'
import type { Logger } from 'winston'
import type { CallerRequest } from './CallerRequest.js'

/**
 * Writes the log events of accepted requests. Events of a level that is off cost nothing.
 *
 * @internal
 */
export class RequestLogger {
	constructor(private readonly logger: Logger) {}

	/** Notes the end of an attempt at a backend server. */
	logAttemptEnd(row: CallerRequest, server: BackendServerId, outcome: AttemptOutcome): void {
		const { requestId, team } = row
		if (outcome.type !== 'answered') {
			this.logger.warn('attempt-failed', { requestId, team, server, outcome: outcome.type })
		} else if (this.logger.isLevelEnabled('debug')) {
			this.logger.debug('attempt-ended', { requestId, team, server, outcome: outcome.type })
		}
	}

	/** Notes the end of a request, `total` after it was accepted. */
	logRequestEnd(row: CallerRequest, verdict: Verdict, total: Milliseconds): void {
		if (!this.logger.isLevelEnabled('debug')) return
		this.logger.debug('request-ended', {
			requestId: row.requestId,
			team: row.team,
			queue: row.queue.name,
			verdict,
			totalMilliseconds: Math.round(total),
		})
	}
}
