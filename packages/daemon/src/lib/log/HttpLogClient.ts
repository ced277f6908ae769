import type { Milliseconds, TimerService } from '@mastichead/core'
import { Agent, request } from 'undici'
import { z } from 'zod'
import type { AppendOutcome } from './AppendOutcome.js'
import { LogClient } from './LogClient.js'
import type { ReadOutcome } from './ReadOutcome.js'

const MAXIMUM_CONNECTIONS = 4
const CONNECT_TIMEOUT_MILLISECONDS = 1000
/** Answer bytes that are read at most. */
const MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024

const STATUS_GONE = 410
const STATUS_TIMEOUT = 408
const STATUS_TOO_MANY = 429
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
 * The platform's log over HTTP. A call that misses its deadline retires every connection, so
 * that the next call opens a fresh one and does not wait on one that went silent.
 *
 * @public
 */
export class HttpLogClient extends LogClient {
	private agent = this.createAgent()
	private closed = false
	private urlIndex = 0
	private readonly inFlightCalls = new Set<AbortController>()

	/**
	 * @param urls - addresses of the platform, like `http://10.0.0.1:7000`; a call that got no
	 *   answer moves on to the next one
	 * @param instance - name that calls are sent under
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
				return { type: 'expired', first: expiredResponseSchema.parse(body).first }
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
			const isRetryable = status === STATUS_TIMEOUT || status === STATUS_TOO_MANY
			if (isRetryable || status >= STATUS_SERVER_ERROR) return { type: 'unknown', reason }
			return { type: 'refused', reason }
		} catch (error) {
			return { type: 'unknown', reason: String(error) }
		}
	}

	override async close(): Promise<void> {
		this.closed = true
		for (const call of this.inFlightCalls) call.abort(new Error('closed'))
		await this.agent.destroy()
	}

	private async call(
		method: 'GET' | 'POST',
		path: string,
		body: string | undefined,
		deadline: Milliseconds
	): Promise<Response> {
		if (this.closed) throw new Error('closed')
		const url = this.urlIndex
		const dispatcher = this.agent
		const call = new AbortController()
		this.inFlightCalls.add(call)
		const timer = this.timers.after(deadline, () => {
			call.abort(new Error(`no answer within ${deadline} ms`))
			this.replaceAgent(dispatcher)
		})
		try {
			const answer = await request(new URL(path, this.urls[url % this.urls.length]), {
				method,
				body: body ?? null,
				headers: { 'content-type': 'application/json', 'mastichead-instance': this.instance },
				dispatcher,
				signal: call.signal,
			})
			const text = await answer.body.text()
			return { status: answer.statusCode, body: JSON.parse(text === '' ? 'null' : text) }
		} catch (error) {
			if (this.urlIndex === url) this.urlIndex += 1
			throw error
		} finally {
			timer.cancel()
			this.inFlightCalls.delete(call)
		}
	}

	private replaceAgent(agent: Agent): void {
		if (this.agent !== agent || this.closed) return
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
