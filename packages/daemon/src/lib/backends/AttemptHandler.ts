import type { AttemptOutcome } from '@mastichead/core'
import type { Dispatcher } from 'undici'
import type { Attempt } from './Attempt.js'
import type { RunningAttempt } from './RunningAttempt.js'

/** Headers of one connection, which are not passed on. */
const CONNECTION_HEADERS = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
])

/**
 * Follows one request through undici and tells how it ended.
 *
 * @internal
 */
export class AttemptHandler implements Dispatcher.DispatchHandler, RunningAttempt {
	readonly ended: Promise<AttemptOutcome>
	private settle: (outcome: AttemptOutcome) => void = () => undefined
	private controller: Dispatcher.DispatchController | undefined
	private status = 0
	private isWritten = false
	private isRefused = false
	private isCancelled = false

	constructor(private readonly attempt: Attempt) {
		this.ended = new Promise((resolve) => {
			this.settle = resolve
		})
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller
		if (this.isCancelled) controller.abort(new Error('cancelled'))
		else this.isWritten = true
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>
	): void {
		if (status < 200) return
		this.status = status
		this.isRefused = status === 503 && headers['mastichead-verdict'] === 'not-run'
		if (!this.isRefused) this.attempt.onHead(status, getEndToEndHeaders(headers))
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.isRefused) return
		if (!this.attempt.onData(chunk)) controller.pause()
	}

	onResponseEnd(): void {
		if (this.isRefused) this.settle({ type: 'refused' })
		else this.settle({ type: 'answered', status: this.status })
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.settle(this.getOutcome(error))
	}

	resume(): void {
		this.controller?.resume()
	}

	cancel(): void {
		this.isCancelled = true
		this.controller?.abort(new Error('cancelled'))
	}

	private getOutcome(error: Error): AttemptOutcome {
		if (this.isRefused) return { type: 'refused' }
		if (this.isCancelled) {
			return { type: this.isWritten ? 'cancelled-after-write' : 'cancelled-before-write' }
		}
		const code = 'code' in error ? String(error.code) : ''
		if (!this.isWritten) return getConnectOutcome(code)
		if (this.status > 0) {
			return { type: code === 'UND_ERR_BODY_TIMEOUT' ? 'body-timeout' : 'truncated-response' }
		}
		if (code === 'UND_ERR_HEADERS_TIMEOUT') return { type: 'head-timeout' }
		if (code.startsWith('HPE_')) return { type: 'malformed-response' }
		return { type: 'reset-after-write' }
	}
}

function getConnectOutcome(code: string): AttemptOutcome {
	if (code === 'ECONNREFUSED') return { type: 'connection-refused' }
	if (code === 'UND_ERR_CONNECT_TIMEOUT') return { type: 'connection-timeout' }
	return { type: 'reset-before-write' }
}

function getEndToEndHeaders(
	headers: Record<string, string | string[] | undefined>
): Record<string, string | string[]> {
	const passed: Record<string, string | string[]> = {}
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !CONNECTION_HEADERS.has(name)) passed[name] = value
	}
	return passed
}
