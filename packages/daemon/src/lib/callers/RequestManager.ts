import {
	type AllowanceSource,
	type AttemptOutcome,
	type BackendServerId,
	createFinalAnswer,
	type FinalAnswer,
	type FleetState,
	getVerdict,
	type Milliseconds,
	type PoolId,
	type Queue,
	RequestAttempts,
	RetryBudget,
	Scheduler,
	type SharePolicy,
	type RequestStart,
	type TeamId,
	type TeamLoad,
	type TimerService,
	type Verdict,
	type WaitingRequest,
} from '@mastichead/core'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Logger } from 'winston'
import type { BackendManager } from '../backends/BackendManager.js'
import type { MetricsManager } from '../metrics/MetricsManager.js'
import { getSlotResult } from '../slots/getSlotResult.js'
import type { RequestSlots } from '../slots/RequestSlots.js'
import type { CallerHeaders } from './CallerHeaders.js'
import type { CallerRequest } from './CallerRequest.js'
import type { RequestBody } from './RequestBody.js'
import { bodyTooLarge } from './bodyTooLarge.js'
import { RequestLogger } from './RequestLogger.js'
import { sendErrorResponse } from './sendErrorResponse.js'

/** Interval between scheduler ticks; the scheduler also runs on demand. */
const TICK_INTERVAL_MILLISECONDS = 20

/** Maximum pause within a response body. */
const BODY_TIMEOUT_MILLISECONDS = 30_000

/** Suggested retry delay for a request that did not start in time. */
const LATE_RETRY_AFTER_MILLISECONDS = 2000

interface Options<Unit> {
	readonly timers: TimerService
	readonly logger: Logger
	readonly metrics: MetricsManager
	readonly allowances: AllowanceSource<Unit>
	readonly slots: RequestSlots
	readonly backends: BackendManager
	readonly policy: SharePolicy
	readonly getState: () => FleetState
	readonly getPeerLoad: (pool: PoolId) => ReadonlyMap<TeamId, TeamLoad>
	/** Limits retries (default: a new, empty budget). */
	readonly budget?: RetryBudget
	/** Called once for each accepted request, with its verdict. */
	readonly onRequestEnd: (requestId: string, verdict: Verdict) => void
}

/** A request that the caller server has admitted. */
interface Submission {
	readonly requestId: string
	readonly team: TeamId
	readonly queue: Queue
	readonly headers: CallerHeaders
	readonly body: RequestBody
	readonly request: IncomingMessage
	readonly response: ServerResponse
}

/**
 * Processes accepted requests: queues them, sends attempts to backend servers, forwards the
 * response to the caller, and releases slots and allowance units afterwards.
 *
 * @public
 */
export class RequestManager<Unit = unknown> {
	readonly scheduler: Scheduler<Unit>
	private readonly requests = new Map<number, CallerRequest>()
	private readonly budget: RetryBudget
	private readonly requestLogger: RequestLogger
	private readonly tickTimer
	private lastId = 0
	private resolveIdle: () => void = () => undefined

	constructor(private readonly options: Options<Unit>) {
		this.requestLogger = new RequestLogger(options.logger)
		const { timers, allowances, slots, policy, getPeerLoad } = options
		this.budget = options.budget ?? new RetryBudget()
		this.scheduler = new Scheduler<Unit>({
			timers,
			allowances,
			slots,
			policy,
			getPeerLoad,
			getWeights: () => this.getShares(),
			onStart: (start) => {
				this.handleStart(start)
			},
			onExpired: (queueEntry) => {
				this.refuseExpired(queueEntry)
			},
		})
		this.scheduler.onChange = (pool) => {
			slots.notifyChange(pool)
		}
		this.tickTimer = timers.every(TICK_INTERVAL_MILLISECONDS, () => {
			this.scheduler.tick()
		})
	}

	/** Number of queued and running requests. */
	get size(): number {
		return this.requests.size
	}

	/** Whether the queue has room for another request at this daemon. */
	canEnqueue(queue: Queue): boolean {
		return this.scheduler.queues.getQueueSize(queue.name) < queue.maximumQueued
	}

	/** Queues a request; its response is sent to the caller as soon as it is available. */
	submit(submission: Submission): void {
		const now = this.options.timers.now()
		const { queue, headers, request, response } = submission
		const timeout = Math.min(headers.startTimeout ?? Infinity, queue.timeoutMilliseconds)
		const queueEntry = this.createQueueEntry(submission, now + timeout)
		const callerRequest: CallerRequest = {
			...submission,
			contentType: request.headers['content-type'],
			attempts: new RequestAttempts({
				timers: this.options.timers,
				budget: this.budget,
				idempotent: headers.idempotent,
				deadline: now + timeout,
			}),
			acceptedAt: now,
			queueEntry,
			startedAt: undefined,
			runningAttempt: undefined,
			hasEnded: false,
		}
		this.requests.set(queueEntry.id, callerRequest)
		response.once('close', () => {
			this.handleClose(callerRequest)
		})
		this.scheduler.submit(queueEntry)
	}

	/** Resolves once no request is queued or running. */
	async waitUntilIdle(): Promise<void> {
		if (this.requests.size === 0) return
		await new Promise<void>((resolve) => {
			this.resolveIdle = resolve
		})
	}

	stop(): void {
		this.tickTimer.cancel()
	}

	private createQueueEntry(
		{ team, queue }: { team: TeamId; queue: Queue },
		startDeadline: Milliseconds
	): WaitingRequest {
		return {
			id: ++this.lastId,
			queue: queue.name,
			team,
			pool: queue.pool,
			urgency: queue.urgency,
			enqueuedAt: this.options.timers.now(),
			startDeadline,
		}
	}

	private handleStart(start: RequestStart<Unit>): void {
		const callerRequest = this.requests.get(start.request.id)
		if (callerRequest) {
			callerRequest.startedAt ??= this.options.timers.now()
			void this.runAttempt(callerRequest, start)
			return
		}
		// The request ended before it could start, so its resources are released unused.
		this.options.slots.release(start.server, start.request.pool, start.request.team)
		this.options.allowances.release(start.unit)
		this.scheduler.finish(start.request)
	}

	private async runAttempt(callerRequest: CallerRequest, start: RequestStart<Unit>): Promise<void> {
		const runEndsAt = this.options.timers.now() + callerRequest.queue.runMilliseconds
		callerRequest.attempts.start(start.server)
		const outcome = await this.sendAttempt(callerRequest, start.server)
		callerRequest.runningAttempt = undefined
		this.requestLogger.logAttemptEnd(callerRequest, start.server, outcome)
		const decision = callerRequest.attempts.end(outcome, {
			replayable: callerRequest.body.isReplayable,
		})
		if (decision.type === 'final') this.endRequest(callerRequest, decision.answer)
		else if (callerRequest.response.destroyed) {
			this.endRequest(callerRequest, createFinalAnswer(outcome, callerRequest.attempts.verdict))
		}
		this.releaseResources(start, outcome, runEndsAt)
		if (!callerRequest.hasEnded) this.requeue(callerRequest)
	}

	private sendAttempt(
		callerRequest: CallerRequest,
		server: BackendServerId
	): Promise<AttemptOutcome> {
		const target = this.options.getState().backendServers.get(server)
		// The backend server was removed after the slot was reserved; nothing has been sent.
		if (!target) return Promise.resolve({ type: 'reset-before-write' })
		const attempt = this.options.backends.send({
			server: target,
			method: callerRequest.request.method ?? 'POST',
			path: callerRequest.headers.path,
			headers: getAttemptHeaders(callerRequest),
			body: callerRequest.body.takePayload(),
			requestId: callerRequest.requestId,
			runTimeout: callerRequest.queue.runMilliseconds,
			bodyTimeout: BODY_TIMEOUT_MILLISECONDS,
			onHead: (status, headers) => {
				this.forwardHead(callerRequest, server, { status, headers })
			},
			onData: (chunk) => this.forwardData(callerRequest, chunk),
		})
		callerRequest.runningAttempt = { server, attempt }
		return attempt.outcome
	}

	/** Queues the request again, ahead of those that were accepted after it. */
	private requeue(callerRequest: CallerRequest): void {
		const deadline = callerRequest.queueEntry.startDeadline
		this.requests.delete(callerRequest.queueEntry.id)
		callerRequest.queueEntry = this.createQueueEntry(callerRequest, deadline)
		this.requests.set(callerRequest.queueEntry.id, callerRequest)
		this.scheduler.requeue(callerRequest.queueEntry)
	}

	/**
	 * Releases the slot and the allowance unit: immediately, or at the end of the run time if the
	 * request may still be running.
	 */
	private releaseResources(
		start: RequestStart<Unit>,
		outcome: AttemptOutcome,
		runEndsAt: Milliseconds
	): void {
		const { request, server, unit } = start
		const { timers, slots, allowances } = this.options
		const release = (): void => {
			allowances.release(unit)
			slots.endUse({ pool: request.pool, team: request.team, server }, getSlotResult(outcome))
			this.scheduler.finish(request)
		}
		if (canStillRun(outcome)) timers.after(runEndsAt - timers.now(), release)
		else release()
	}

	private forwardHead(
		callerRequest: CallerRequest,
		server: BackendServerId,
		head: { status: number; headers: Readonly<Record<string, string | string[]>> }
	): void {
		const { response } = callerRequest
		if (callerRequest.hasEnded || response.headersSent) return
		const startedAt = callerRequest.startedAt ?? callerRequest.acceptedAt
		const now = this.options.timers.now()
		for (const [name, value] of Object.entries(head.headers)) response.setHeader(name, value)
		response.setHeader('mastichead-verdict', 'ran')
		response.setHeader('mastichead-request-id', callerRequest.requestId)
		response.setHeader('mastichead-backend-server', server)
		response.setHeader(
			'mastichead-queued-milliseconds',
			Math.round(startedAt - callerRequest.acceptedAt)
		)
		response.setHeader('mastichead-service-milliseconds', Math.round(now - startedAt))
		response.writeHead(head.status)
	}

	private forwardData(callerRequest: CallerRequest, chunk: Buffer): boolean {
		if (callerRequest.hasEnded) return true
		const hasRoom = callerRequest.response.write(chunk)
		if (!hasRoom)
			callerRequest.response.once('drain', () => callerRequest.runningAttempt?.attempt.resume())
		return hasRoom
	}

	private endRequest(callerRequest: CallerRequest, answer: FinalAnswer): void {
		if (callerRequest.hasEnded) return
		const { response, requestId, body } = callerRequest
		if (answer.type === 'answered') response.end()
		else if (body.failure === 'too-large') {
			sendErrorResponse(response, { ...bodyTooLarge, verdict: answer.verdict }, requestId)
		} else sendErrorResponse(response, answer, requestId)
		this.completeRequest(callerRequest, answer.verdict)
	}

	private refuseExpired(queueEntry: WaitingRequest): void {
		const callerRequest = this.requests.get(queueEntry.id)
		if (!callerRequest) return
		this.endRequest(callerRequest, {
			type: 'failed',
			verdict: callerRequest.attempts.verdict,
			status: 503,
			error: 'deadline-exceeded',
			message: 'the request could not start in time',
			retryAfter: LATE_RETRY_AFTER_MILLISECONDS,
		})
	}

	/**
	 * Cancels the request of a caller that disconnected. A running attempt is aborted, and its verdict
	 * becomes the verdict of the request.
	 */
	private handleClose(callerRequest: CallerRequest): void {
		if (callerRequest.hasEnded) return
		if (callerRequest.runningAttempt) {
			callerRequest.runningAttempt.attempt.cancel()
			return
		}
		this.scheduler.cancel(callerRequest.queueEntry)
		this.completeRequest(callerRequest, callerRequest.attempts.verdict)
	}

	private completeRequest(callerRequest: CallerRequest, verdict: Verdict): void {
		callerRequest.hasEnded = true
		callerRequest.body.release()
		this.requests.delete(callerRequest.queueEntry.id)
		const now = this.options.timers.now()
		const startedAt = callerRequest.startedAt
		this.options.metrics.recordRequest({
			team: callerRequest.team,
			queue: callerRequest.queue.name,
			verdict,
			waitMilliseconds: (startedAt ?? now) - callerRequest.acceptedAt,
			serviceMilliseconds: startedAt === undefined ? undefined : now - startedAt,
			totalMilliseconds: now - callerRequest.acceptedAt,
		})
		this.requestLogger.logRequestEnd(callerRequest, verdict, now - callerRequest.acceptedAt)
		this.options.onRequestEnd(callerRequest.requestId, verdict)
		if (this.requests.size === 0) this.resolveIdle()
	}

	private getShares(): ReadonlyMap<TeamId, number> {
		const shares = new Map<TeamId, number>()
		for (const team of this.options.getState().teams.values()) shares.set(team.name, team.share)
		return shares
	}
}

function canStillRun(outcome: AttemptOutcome): boolean {
	return outcome.type !== 'answered' && getVerdict(outcome) !== 'not-run'
}

function getAttemptHeaders(callerRequest: CallerRequest): Record<string, string> {
	const headers: Record<string, string> = {
		'mastichead-request-id': callerRequest.requestId,
		'mastichead-team': callerRequest.team,
		'mastichead-queue': callerRequest.queue.name,
		'mastichead-deadline-milliseconds': String(callerRequest.queue.runMilliseconds),
	}
	if (callerRequest.contentType !== undefined) headers['content-type'] = callerRequest.contentType
	const length = callerRequest.request.headers['content-length']
	if (length !== undefined) headers['content-length'] = length
	return headers
}
