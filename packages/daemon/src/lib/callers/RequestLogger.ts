import type { AttemptOutcome, BackendServerId, Milliseconds, Verdict } from '@mastichead/core'
import type { Logger } from 'winston'
import type { CallerRequest } from './CallerRequest.js'

/**
 * Logs the events of accepted requests. Skips the work for levels that are disabled.
 *
 * @internal
 */
export class RequestLogger {
	constructor(private readonly logger: Logger) {}

	/** Logs the end of an attempt at a backend server. */
	logAttemptEnd(
		callerRequest: CallerRequest,
		server: BackendServerId,
		outcome: AttemptOutcome
	): void {
		const { requestId, team } = callerRequest
		if (outcome.type !== 'answered') {
			this.logger.warn('attempt-failed', { requestId, team, server, outcome: outcome.type })
		} else if (this.logger.isLevelEnabled('debug')) {
			this.logger.debug('attempt-ended', { requestId, team, server, outcome: outcome.type })
		}
	}

	/** Logs the end of a request, `total` milliseconds after its acceptance. */
	logRequestEnd(callerRequest: CallerRequest, verdict: Verdict, total: Milliseconds): void {
		if (!this.logger.isLevelEnabled('debug')) return
		this.logger.debug('request-ended', {
			requestId: callerRequest.requestId,
			team: callerRequest.team,
			queue: callerRequest.queue.name,
			verdict,
			totalMilliseconds: Math.round(total),
		})
	}
}
