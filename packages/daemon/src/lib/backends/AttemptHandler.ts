import type { AttemptOutcome, Subscription, TimerService } from '@mastichead/core'
import type { Dispatcher } from 'undici'
import type { Attempt } from './Attempt.js'
import type { BackendConnection } from './BackendConnection.js'
import { getEndToEndHeaders } from './getEndToEndHeaders.js'
import type { RunningAttempt } from './RunningAttempt.js'

const NO_CONTENT_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** Why this daemon broke the attempt off itself. */
type Abort = 'cancelled' | 'timeout' | 'malformed'

/**
 * Follows one request over its connection and tells how it ended.
 *
 * @internal
 */
export class AttemptHandler implements Dispatcher.DispatchHandler, RunningAttempt {
	readonly outcome: Promise<AttemptOutcome>
	private settle: (outcome: AttemptOutcome) => void = () => undefined
	private controller: Dispatcher.DispatchController | undefined
	private status = 0
	private isRefused = false
	private isPaused = false
	private hasEnded = false
	private abort: Abort | undefined
	private lastDataAt = 0
	private readonly runTimer: Subscription
	private bodyTimer: Subscription | undefined

	constructor(
		private readonly options: {
			readonly attempt: Attempt
			readonly connection: BackendConnection
			readonly timers: TimerService
			/** Called before `ended` resolves. */
			readonly onEnd: (outcome: AttemptOutcome) => void
		}
	) {
		this.outcome = new Promise((resolve) => {
			this.settle = resolve
		})
		this.runTimer = options.timers.after(options.attempt.runTimeout, () => {
			this.breakOff('timeout')
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
		if (status < 200 || this.abort) return
		if (!this.isWhole(status, headers)) {
			this.breakOff('malformed')
			return
		}
		if (/\bclose\b/i.test(String(headers.connection ?? ''))) this.options.connection.preventReuse()
		this.status = status
		this.isRefused = status === 503 && headers['mastichead-verdict'] === 'not-run'
		this.watchBody()
		if (!this.isRefused) this.options.attempt.onHead(status, getEndToEndHeaders(headers))
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.lastDataAt = this.options.timers.now()
		if (this.isRefused || this.abort) return
		if (this.options.attempt.onData(chunk)) return
		this.isPaused = true
		controller.pause()
	}

	onResponseEnd(): void {
		if (this.abort) this.end(this.getAbortOutcome(this.abort))
		else if (this.isRefused) this.end({ type: 'refused' })
		else this.end({ type: 'answered', status: this.status })
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.end(this.abort ? this.getAbortOutcome(this.abort) : this.getErrorOutcome(error))
	}

	resume(): void {
		if (!this.isPaused) return
		this.isPaused = false
		this.lastDataAt = this.options.timers.now()
		this.controller?.resume()
	}

	cancel(): void {
		this.breakOff('cancelled')
	}

	/** A body without a length could be cut short without a sign, so it is not taken. */
	private isWhole(status: number, headers: Record<string, string | string[] | undefined>): boolean {
		const echoed = headers['mastichead-request-id']
		if (echoed !== undefined && echoed !== this.options.attempt.requestId) return false
		if (NO_CONTENT_STATUSES.has(status)) return true
		return (
			headers['content-length'] !== undefined ||
			String(headers['transfer-encoding'] ?? '').toLowerCase() === 'chunked'
		)
	}

	private watchBody(): void {
		const { timers, attempt } = this.options
		this.lastDataAt = timers.now()
		const check = () => {
			const silent = this.isPaused ? 0 : timers.now() - this.lastDataAt
			if (silent >= attempt.bodyTimeout) this.breakOff('timeout')
			else this.bodyTimer = timers.after(attempt.bodyTimeout - silent, check)
		}
		this.bodyTimer = timers.after(attempt.bodyTimeout, check)
	}

	/** The connection is destroyed, so that nothing that still comes over it reaches anyone. */
	private breakOff(abort: Abort): void {
		if (this.hasEnded || this.abort) return
		this.abort = abort
		const outcome = this.getAbortOutcome(abort)
		this.options.connection.destroy()
		this.end(outcome)
	}

	private getAbortOutcome(abort: Abort): AttemptOutcome {
		const { wasOpened: isOpened, hasWrittenRequest: isWritten } = this.options.connection
		switch (abort) {
			case 'cancelled':
				return { type: isWritten ? 'cancelled-after-write' : 'cancelled-before-write' }
			case 'malformed':
				return { type: 'malformed-response' }
			case 'timeout':
				if (this.isRefused) return { type: 'refused' }
				if (this.status > 0) return { type: 'body-timeout' }
				if (isWritten) return { type: 'head-timeout' }
				return { type: isOpened ? 'reset-before-write' : 'connection-timeout' }
		}
	}

	private getErrorOutcome(error: Error): AttemptOutcome {
		const { wasOpened: isOpened, hasWrittenRequest: isWritten } = this.options.connection
		const code = 'code' in error ? String(error.code) : ''
		if (!isOpened) {
			const isTimeout = code === 'UND_ERR_CONNECT_TIMEOUT'
			return { type: isTimeout ? 'connection-timeout' : 'connection-refused' }
		}
		if (!isWritten) return { type: 'reset-before-write' }
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
		this.settle(outcome)
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
