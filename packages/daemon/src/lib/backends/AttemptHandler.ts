import type { AttemptOutcome, Subscription, TimerService } from '@mastichead/core'
import type { Dispatcher } from 'undici'
import type { Attempt } from './Attempt.js'
import type { BackendConnection } from './BackendConnection.js'
import { getEndToEndHeaders } from './getEndToEndHeaders.js'
import type { RunningAttempt } from './RunningAttempt.js'

const NO_CONTENT_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** Why this daemon aborted the attempt. */
type AbortReason = 'cancelled' | 'timeout' | 'malformed'

/**
 * Processes the response to one attempt and resolves the outcome.
 *
 * @internal
 */
export class AttemptHandler implements Dispatcher.DispatchHandler, RunningAttempt {
	readonly outcome: Promise<AttemptOutcome>
	private resolveOutcome: (outcome: AttemptOutcome) => void = () => undefined
	private controller: Dispatcher.DispatchController | undefined
	/** Status of the response; 0 until its head has arrived. */
	private status = 0
	/** Whether the backend server responded that it did not run the request. */
	private isRefused = false
	private isPaused = false
	private hasEnded = false
	private abortReason: AbortReason | undefined
	private lastDataAt = 0
	private readonly runTimer: Subscription
	private bodyTimer: Subscription | undefined

	constructor(
		private readonly options: {
			readonly attempt: Attempt
			readonly connection: BackendConnection
			readonly timers: TimerService
			/** Called before `outcome` resolves. */
			readonly onEnd: (outcome: AttemptOutcome) => void
		}
	) {
		this.outcome = new Promise((resolve) => {
			this.resolveOutcome = resolve
		})
		this.runTimer = options.timers.after(options.attempt.runTimeout, () => {
			this.abort('timeout')
		})
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>
	): void {
		if (status < 200 || this.abortReason) return
		if (!this.isValidResponse(status, headers)) {
			this.abort('malformed')
			return
		}
		if (/\bclose\b/i.test(String(headers.connection ?? ''))) this.options.connection.preventReuse()
		this.status = status
		this.isRefused = status === 503 && headers['mastichead-verdict'] === 'not-run'
		this.startBodyTimer()
		if (!this.isRefused) this.options.attempt.onHead(status, getEndToEndHeaders(headers))
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.lastDataAt = this.options.timers.now()
		if (this.isRefused || this.abortReason) return
		if (this.options.attempt.onData(chunk)) return
		this.isPaused = true
		controller.pause()
	}

	onResponseEnd(): void {
		if (this.abortReason) this.end(this.getAbortOutcome(this.abortReason))
		else if (this.isRefused) this.end({ type: 'refused' })
		else this.end({ type: 'answered', status: this.status })
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.end(
			this.abortReason ? this.getAbortOutcome(this.abortReason) : this.getErrorOutcome(error)
		)
	}

	resume(): void {
		if (!this.isPaused) return
		this.isPaused = false
		this.lastDataAt = this.options.timers.now()
		this.controller?.resume()
	}

	cancel(): void {
		this.abort('cancelled')
	}

	/** Checks the request id and the framing: a truncated body without a length would go unnoticed. */
	private isValidResponse(
		status: number,
		headers: Record<string, string | string[] | undefined>
	): boolean {
		const echoedId = headers['mastichead-request-id']
		if (echoedId !== undefined && echoedId !== this.options.attempt.requestId) return false
		if (NO_CONTENT_STATUSES.has(status)) return true
		return (
			headers['content-length'] !== undefined ||
			String(headers['transfer-encoding'] ?? '').toLowerCase() === 'chunked'
		)
	}

	private startBodyTimer(): void {
		const { timers, attempt } = this.options
		this.lastDataAt = timers.now()
		const check = () => {
			const silentMilliseconds = this.isPaused ? 0 : timers.now() - this.lastDataAt
			if (silentMilliseconds >= attempt.bodyTimeout) this.abort('timeout')
			else this.bodyTimer = timers.after(attempt.bodyTimeout - silentMilliseconds, check)
		}
		this.bodyTimer = timers.after(attempt.bodyTimeout, check)
	}

	/** Ends the attempt and destroys the connection, so that no late data on it is forwarded. */
	private abort(reason: AbortReason): void {
		if (this.hasEnded || this.abortReason) return
		this.abortReason = reason
		const outcome = this.getAbortOutcome(reason)
		this.options.connection.destroy()
		this.end(outcome)
	}

	private getAbortOutcome(reason: AbortReason): AttemptOutcome {
		const { wasOpened, hasWrittenRequest } = this.options.connection
		switch (reason) {
			case 'cancelled':
				return { type: hasWrittenRequest ? 'cancelled-after-write' : 'cancelled-before-write' }
			case 'malformed':
				return { type: 'malformed-response' }
			case 'timeout':
				if (this.isRefused) return { type: 'refused' }
				if (this.status > 0) return { type: 'body-timeout' }
				if (hasWrittenRequest) return { type: 'head-timeout' }
				return { type: wasOpened ? 'reset-before-write' : 'connection-timeout' }
		}
	}

	private getErrorOutcome(error: Error): AttemptOutcome {
		const { wasOpened, hasWrittenRequest } = this.options.connection
		const code = 'code' in error ? String(error.code) : ''
		if (!wasOpened) {
			const isTimeout = code === 'UND_ERR_CONNECT_TIMEOUT'
			return { type: isTimeout ? 'connection-timeout' : 'connection-refused' }
		}
		if (!hasWrittenRequest) return { type: 'reset-before-write' }
		if (this.isRefused) return { type: 'refused' }
		if (this.status > 0) return { type: 'truncated-response' }
		if (isParseError(error, code)) return { type: 'malformed-response' }
		return { type: 'reset-after-write' }
	}

	private end(outcome: AttemptOutcome): void {
		if (this.hasEnded) return
		this.hasEnded = true
		this.runTimer.cancel()
		this.bodyTimer?.cancel()
		this.options.onEnd(outcome)
		this.resolveOutcome(outcome)
	}
}

function isParseError(error: Error, code: string): boolean {
	return (
		error.name === 'HTTPParserError' ||
		code.startsWith('HPE_') ||
		code === 'UND_ERR_HEADERS_OVERFLOW' ||
		code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH'
	)
}
