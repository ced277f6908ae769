import type { Milliseconds, TimerService } from '@mastichead/core'
import { Agent, request } from 'undici'
import { z } from 'zod'
import type { AppendOutcome } from './AppendOutcome.js'
import { LogClient } from './LogClient.js'
import type { ReadOutcome } from './ReadOutcome.js'

const MAXIMUM_CONNECTIONS = 4
const CONNECT_TIMEOUT_MILLISECONDS = 1000
const MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024

const STATUS_GONE = 410
const STATUS_TIMEOUT = 408
const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_SERVER_ERROR = 500

const readResponseSchema = z.object({
	entries: z.array(z.object({ offset: z.int(), at: z.number(), record: z.string() })),
})
const expiredResponseSchema = z.object({ first: z.int() })

interface Response {
	readonly status: number
	readonly body: unknown
}

/**
 * Client of the platform's log over HTTP. A call that times out replaces the connection pool, so
 * that the next call opens a new connection and does not wait on one that went silent.
 *
 * @public
 */
export class HttpLogClient extends LogClient {
	private agent = this.createAgent()
	private isClosed = false
	private urlIndex = 0
	private readonly inFlightCalls = new Set<AbortController>()

	/**
	 * @param urls - base URLs of the platform, such as `http://10.0.0.1:7000`; after a failed call
	 *   the next call uses the next URL
	 * @param instance - name sent with every call as `mastichead-instance`
	 */
	constructor(
		private readonly timers: TimerService,
		private readonly urls: readonly string[],
		private readonly instance: string
	) {
		super()
	}

	override async read(
		from: number,
		limit: number,
		wait: Milliseconds,
		timeout: Milliseconds
	): Promise<ReadOutcome> {
		try {
			const path = `/log/read?from=${from}&limit=${limit}&wait=${wait}`
			const { status, body } = await this.call('GET', path, undefined, timeout)
			if (status === STATUS_GONE)
				return { type: 'expired', firstOffset: expiredResponseSchema.parse(body).first }
			if (status !== 200) return { type: 'failed', reason: `status ${status}` }
			return { type: 'records', records: readResponseSchema.parse(body).entries }
		} catch (error) {
			return { type: 'failed', reason: String(error) }
		}
	}

	override async append(records: readonly string[], timeout: Milliseconds): Promise<AppendOutcome> {
		try {
			const body = JSON.stringify({ records })
			const { status } = await this.call('POST', '/log/append', body, timeout)
			if (status === 200) return { type: 'appended' }
			const reason = `status ${status}`
			const isRetryable = status === STATUS_TIMEOUT || status === STATUS_TOO_MANY_REQUESTS
			if (isRetryable || status >= STATUS_SERVER_ERROR) return { type: 'unknown', reason }
			return { type: 'refused', reason }
		} catch (error) {
			return { type: 'unknown', reason: String(error) }
		}
	}

	override async close(): Promise<void> {
		this.isClosed = true
		for (const call of this.inFlightCalls) call.abort(new Error('the log client is closed'))
		await this.agent.destroy()
	}

	private async call(
		method: 'GET' | 'POST',
		path: string,
		body: string | undefined,
		timeout: Milliseconds
	): Promise<Response> {
		if (this.isClosed) throw new Error('the log client is closed')
		const urlIndex = this.urlIndex
		const dispatcher = this.agent
		const controller = new AbortController()
		this.inFlightCalls.add(controller)
		const timer = this.timers.after(timeout, () => {
			controller.abort(new Error(`no response within ${timeout} ms`))
			this.replaceAgent(dispatcher)
		})
		try {
			const response = await request(new URL(path, this.urls[urlIndex % this.urls.length]), {
				method,
				body: body ?? null,
				headers: { 'content-type': 'application/json', 'mastichead-instance': this.instance },
				dispatcher,
				signal: controller.signal,
			})
			const text = await response.body.text()
			return { status: response.statusCode, body: JSON.parse(text === '' ? 'null' : text) }
		} catch (error) {
			if (this.urlIndex === urlIndex) this.urlIndex += 1
			throw error
		} finally {
			timer.cancel()
			this.inFlightCalls.delete(controller)
		}
	}

	private replaceAgent(agent: Agent): void {
		if (this.agent !== agent || this.isClosed) return
		this.agent = this.createAgent()
		void agent.destroy()
	}

	private createAgent(): Agent {
		return new Agent({
			connections: MAXIMUM_CONNECTIONS,
			connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
			headersTimeout: 0,
			bodyTimeout: 0,
			maxResponseSize: MAXIMUM_RESPONSE_BYTES,
		})
	}
}
