import type { FleetState, Queue, TeamId, TimerService } from '@mastichead/core'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Logger } from 'winston'
import { HttpListener } from '../http/HttpListener.js'
import type { Settings } from '../settings/Settings.js'
import type { CallerAuthenticator } from './CallerAuthenticator.js'
import { bodyTooLarge } from './bodyTooLarge.js'
import { CallerConnections } from './CallerConnections.js'
import { parseCallerHeaders } from './parseCallerHeaders.js'
import type { Refusal } from './Refusal.js'
import { RequestBody } from './RequestBody.js'
import type { RequestIdRegistry } from './RequestIdRegistry.js'
import type { RequestManager } from './RequestManager.js'
import { sendErrorResponse } from './sendErrorResponse.js'

const QUEUE_PATH_PATTERN = /^\/v1\/queues\/([^/]+)\/requests$/
const SHORT_RETRY_AFTER_MILLISECONDS = 1000

/** Interval between checks for requests during a shutdown. */
const QUIET_POLL_MILLISECONDS = 20

/** Consecutive checks without requests after which a shutdown stops accepting connections: 1 s. */
const QUIET_CHECK_COUNT = 50

interface Options {
	readonly settings: Settings
	readonly logger: Logger
	readonly timers: TimerService
	readonly requests: RequestManager
	readonly authenticator: CallerAuthenticator
	readonly requestIds: RequestIdRegistry
	readonly getState: () => FleetState
}

/**
 * HTTP server for callers.
 *
 * @public
 */
export class CallerServer {
	private readonly listener: HttpListener
	private readonly connections: CallerConnections
	private isShuttingDown = false
	/** Requests received, excluding health probes, which load balancers keep sending. */
	private requestCount = 0

	constructor(private readonly options: Options) {
		const { settings, logger, timers } = options
		this.listener = new HttpListener({
			name: 'callers',
			listener: settings.listeners.callers,
			limits: settings.limits,
			timers,
			logger,
			handler: (request, response) => {
				this.route(request, response).catch((error: unknown) => {
					logger.error('request-crashed', { reason: String(error) })
					response.destroy()
				})
			},
			onConnectionLimit: (socket) => {
				this.connections.refuseOverLimit(socket)
			},
		})
		this.connections = new CallerConnections(this.listener.server)
	}

	/** Starts listening; rejects if the port cannot be opened. */
	async start(): Promise<void> {
		await this.listener.start()
	}

	/**
	 * Stops admitting requests: readiness fails, new requests are refused as not run, and each
	 * connection closes after its response. Idle connections stay open because a request may already
	 * be in flight on them.
	 */
	startShutdown(): void {
		this.isShuttingDown = true
		this.connections.closeAfterResponses()
	}

	/**
	 * Waits until every response was sent and no request arrived for a quiet period, then stops
	 * accepting connections. The port stays open until then because closing it resets the connections
	 * that the kernel has accepted and this process has not, together with their requests. Idle
	 * connections stay open as well: closing one would lose a request that its caller has just sent.
	 *
	 * Counts checks instead of time. The event loop reads what has arrived between two checks, whereas
	 * after a stall of the process time has passed without anything being read.
	 *
	 * @param portMode - `closes` stops accepting connections before the wait, for a process that
	 *   reopens the port afterwards; on an open port, callers that keep sending requests would be
	 *   refused and the quiet period would not begin
	 */
	async waitForQuietPeriod(portMode: 'stays-open' | 'closes' = 'stays-open'): Promise<void> {
		const { timers } = this.options
		if (portMode === 'closes') this.listener.stopAccepting()
		let lastCount = this.requestCount
		let quietChecks = 0
		while (quietChecks < QUIET_CHECK_COUNT) {
			if (portMode === 'closes' && this.listener.connectionCount === 0) return
			await new Promise<void>((resolve) => {
				timers.after(QUIET_POLL_MILLISECONDS, resolve)
			})
			const isQuiet = this.requestCount === lastCount && this.connections.pendingResponseCount === 0
			quietChecks = isQuiet ? quietChecks + 1 : 0
			lastCount = this.requestCount
		}
		this.listener.stopAccepting()
	}

	/** Closes the port and every connection. */
	stop(): void {
		this.listener.destroy()
	}

	private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const pathname = getPathname(request)
		if (pathname === '/healthz' || pathname === '/readyz') {
			this.sendHealth(response)
			return
		}
		this.requestCount++
		if (pathname === '/v1/request-ids') {
			this.issueRequestId(request, response)
			return
		}
		const queueName = QUEUE_PATH_PATTERN.exec(pathname)?.[1]
		if (queueName === undefined) {
			this.refuse(request, response, notFound)
			return
		}
		await this.submitRequest(queueName, request, response)
	}

	private sendHealth(response: ServerResponse): void {
		response.writeHead(this.isShuttingDown ? 503 : 200, { 'content-type': 'application/json' })
		response.end(JSON.stringify({ status: this.isShuttingDown ? 'leaving' : 'ready' }))
	}

	private issueRequestId(request: IncomingMessage, response: ServerResponse): void {
		if (request.method !== 'POST') {
			this.refuse(request, response, methodNotAllowed)
			return
		}
		request.resume()
		response.writeHead(201, { 'content-type': 'application/json' })
		response.end(JSON.stringify({ requestId: this.options.requestIds.issue() }))
	}

	private async submitRequest(
		queueName: string,
		request: IncomingMessage,
		response: ServerResponse
	): Promise<void> {
		const admission = this.admit(queueName, request)
		if (admission.type === 'refused') {
			this.refuse(request, response, admission.refusal)
			return
		}
		const { queue, team, headers } = admission
		const body = await RequestBody.readAhead(request, this.options.settings.limits.bodyBytes)
		if (body.failure) {
			if (body.failure === 'too-large') this.refuse(request, response, bodyTooLarge)
			return
		}
		const { requestIds, requests } = this.options
		const claim = await requestIds.claim(headers.requestId, headers)
		if (claim.type === 'refused') {
			this.refuse(request, response, claim.refusal, headers.requestId)
			return
		}
		const { requestId } = claim
		if (response.destroyed) requestIds.settle(requestId, 'not-run')
		else requests.submit({ requestId, team, queue, headers, body, request, response })
	}

	private admit(
		queueName: string,
		request: IncomingMessage
	):
		| { type: 'refused'; refusal: Refusal }
		| {
				type: 'admitted'
				queue: Queue
				team: TeamId
				headers: Exclude<ReturnType<typeof parseCallerHeaders>, string>
		  } {
		const refuse = (refusal: Refusal) => ({ type: 'refused', refusal }) as const
		if (this.isShuttingDown) return refuse(shuttingDown)
		if (request.method !== 'POST') return refuse(methodNotAllowed)
		const queue = this.options.getState().queues.get(queueName)
		if (!queue) return refuse(createUnknownQueueRefusal(queueName))
		const result = this.options.authenticator.authenticate(request.headers.authorization, queue)
		if (result.type === 'refused') return refuse(result.refusal)
		const headers = parseCallerHeaders(request.headers)
		if (typeof headers === 'string') return refuse(createHeaderRefusal(headers))
		const length = Number(request.headers['content-length'] ?? 0)
		if (!(length <= this.options.settings.limits.bodyBytes)) return refuse(bodyTooLarge)
		if (!this.options.requests.canEnqueue(queue)) return refuse(queueFull)
		return { type: 'admitted', queue, team: result.team, headers }
	}

	private refuse(
		request: IncomingMessage,
		response: ServerResponse,
		refusal: Refusal,
		requestId = ''
	): void {
		if (!request.complete) response.setHeader('connection', 'close')
		request.resume()
		sendErrorResponse(response, refusal, requestId)
		const { logger } = this.options
		if (!logger.isLevelEnabled('debug')) return
		logger.debug('request-refused', {
			requestId: requestId === '' ? undefined : requestId,
			caller: request.socket.remoteAddress,
			error: refusal.error,
			verdict: refusal.verdict,
		})
	}
}

/** Returns the decoded path without the query, or an empty string if an escape is malformed. */
function getPathname(request: IncomingMessage): string {
	const path = (request.url ?? '').split('?', 1)[0] ?? ''
	try {
		return decodeURIComponent(path)
	} catch {
		return ''
	}
}

const notFound: Refusal = {
	status: 404,
	error: 'not-found',
	message: 'there is no such path',
	verdict: 'not-run',
}
const methodNotAllowed: Refusal = {
	status: 405,
	error: 'method-not-allowed',
	message: 'use POST',
	verdict: 'not-run',
}
const shuttingDown: Refusal = {
	status: 503,
	error: 'shutting-down',
	message: 'this entry instance shuts down',
	verdict: 'not-run',
	retryAfter: SHORT_RETRY_AFTER_MILLISECONDS,
}
const queueFull: Refusal = {
	status: 503,
	error: 'queue-full',
	message: 'the queue is full here',
	verdict: 'not-run',
	retryAfter: SHORT_RETRY_AFTER_MILLISECONDS,
}

function createUnknownQueueRefusal(queue: string): Refusal {
	return {
		status: 404,
		error: 'unknown-queue',
		message: `there is no queue ${queue}`,
		verdict: 'not-run',
	}
}

function createHeaderRefusal(header: string): Refusal {
	return {
		status: 400,
		error: 'header-malformed',
		message: `the header ${header} is malformed`,
		verdict: 'not-run',
	}
}
