import type { FleetState, Queue, TeamId, TimerService } from '@mastichead/core'
import { BodyMemory } from '@mastichead/http'
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

/** Interval between checks for requests and connections during a shutdown. */
const QUIET_POLL_MILLISECONDS = 20

/** Consecutive checks without requests, or without new connections, that count as quiet: 1 s. */
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
	private readonly bodies: BodyMemory
	private isShuttingDown = false

	constructor(private readonly options: Options) {
		const { settings, logger, timers } = options
		this.listener = new HttpListener({
			name: 'callers',
			listener: settings.listeners.callers,
			limits: settings.limits,
			timers,
			logger,
			handler: (request, response, startServing) => {
				this.route(request, response, startServing).catch((error: unknown) => {
					logger.error('request-crashed', { reason: String(error) })
					response.destroy()
				})
			},
			onConnectionLimit: (socket) => {
				this.connections.refuseOverLimit(socket)
			},
		})
		this.connections = new CallerConnections(this.listener.server)
		this.bodies = new BodyMemory(this.listener.limits.bodyBytes)
	}

	/** Starts listening; rejects if the port cannot be opened. */
	async start(): Promise<void> {
		await this.listener.start()
	}

	/**
	 * Stops admitting requests: readiness fails, new requests are refused as not run, and each
	 * connection that a caller has used closes after its response. Idle connections stay open because
	 * a request may already be in flight on them.
	 */
	startShutdown(): void {
		this.isShuttingDown = true
		this.connections.closeAfterResponses('opened-before')
	}

	/**
	 * Waits until every response was sent and no request arrived for a quiet period, then stops
	 * accepting connections.
	 *
	 * Closing the port resets the connections that the kernel has accepted and this process has not,
	 * together with their requests. Callers that keep sending are therefore left on the connections
	 * that they open during the shutdown. Once no caller has opened one for a quiet period, the port
	 * closes, and each connection closes after its next response. Idle connections stay open: closing
	 * one would lose a request that its caller has just sent.
	 *
	 * Counts checks instead of time. The event loop reads what has arrived between two checks, whereas
	 * after a stall of the process time has passed without anything being read.
	 */
	async waitForQuietPeriod(): Promise<void> {
		const { timers } = this.options
		let { requestCount, usedConnectionCount } = this.connections
		let requestChecks = 0
		let connectionChecks = 0
		while (requestChecks < QUIET_CHECK_COUNT) {
			await new Promise<void>((resolve) => {
				timers.after(QUIET_POLL_MILLISECONDS, resolve)
			})
			const { connections } = this
			const isQuiet =
				connections.requestCount === requestCount && connections.pendingResponseCount === 0
			requestChecks = isQuiet ? requestChecks + 1 : 0
			const hasNewConnection = connections.usedConnectionCount > usedConnectionCount
			connectionChecks = hasNewConnection ? 0 : connectionChecks + 1
			;({ requestCount, usedConnectionCount } = connections)
			if (connectionChecks === QUIET_CHECK_COUNT) this.closePort()
		}
		this.listener.stopAccepting()
	}

	/** Closes the port and every connection. */
	stop(): void {
		this.listener.destroy()
	}

	private closePort(): void {
		this.listener.stopAccepting()
		this.connections.closeAfterResponses('all')
	}

	private async route(
		request: IncomingMessage,
		response: ServerResponse,
		startServing: () => void
	): Promise<void> {
		const pathname = getPathname(request)
		if (pathname === '/healthz' || pathname === '/readyz') {
			this.sendHealth(response)
			return
		}
		this.connections.recordRequest(request)
		if (pathname === '/v1/request-ids') {
			this.issueRequestId(request, response)
			return
		}
		const queueName = QUEUE_PATH_PATTERN.exec(pathname)?.[1]
		if (queueName === undefined) {
			this.refuse(request, response, notFound)
			return
		}
		await this.submitRequest(queueName, request, response, startServing)
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
		response: ServerResponse,
		startServing: () => void
	): Promise<void> {
		const admission = this.admit(queueName, request)
		if (admission.type === 'refused') {
			this.refuse(request, response, admission.refusal)
			return
		}
		const { queue, team, headers } = admission
		const { bodyBytes } = this.options.settings.limits
		const body = await RequestBody.readAhead(request, bodyBytes, this.bodies)
		if (body.failure) {
			if (body.failure === 'too-large') this.refuse(request, response, bodyTooLarge)
			else if (body.failure === 'dropped') this.refuseDropped(request, response)
			return
		}
		startServing()
		const { requestIds, requests } = this.options
		const claim = await requestIds.claim(headers.requestId, headers)
		if (claim.type === 'refused') {
			body.release()
			this.refuse(request, response, claim.refusal, headers.requestId)
			return
		}
		const { requestId } = claim
		if (response.destroyed) {
			body.release()
			requestIds.settle(requestId, 'not-run')
		} else requests.submit({ requestId, team, queue, headers, body, request, response })
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
		if (this.listener.isFull) return refuse(tooManyRequests)
		return { type: 'admitted', queue, team: result.team, headers }
	}

	private refuseDropped(request: IncomingMessage, response: ServerResponse): void {
		const { used } = this.bodies
		this.options.logger.warn('body-dropped', { caller: request.socket.remoteAddress, used })
		this.refuse(request, response, tooManyBodies)
	}

	private refuse(
		request: IncomingMessage,
		response: ServerResponse,
		refusal: Refusal,
		requestId = ''
	): void {
		const { bodyBytes } = this.options.settings.limits
		// The rest of the body is read and dropped, which keeps the connection usable.
		if (!(getDeclaredLength(request) <= bodyBytes)) response.setHeader('connection', 'close')
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

/** Returns the length of the body in bytes, or NaN if the headers do not declare it. */
function getDeclaredLength({ headers }: IncomingMessage): number {
	if (headers['transfer-encoding'] !== undefined) return NaN
	return Number(headers['content-length'] ?? 0)
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

const tooManyRequests: Refusal = {
	status: 503,
	error: 'too-many-requests',
	message: 'callers have too many requests under way here',
	verdict: 'not-run',
	retryAfter: SHORT_RETRY_AFTER_MILLISECONDS,
}

const tooManyBodies: Refusal = {
	status: 503,
	error: 'too-many-bodies',
	message: 'the bodies of all callers exceed their memory here',
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
