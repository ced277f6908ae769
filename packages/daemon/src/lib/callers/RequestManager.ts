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

/** Time between ticks of the scheduler, which also runs on demand. */
const TICK_MILLISECONDS = 20

/** Longest pause within the body of an answer. */
const BODY_TIMEOUT_MILLISECONDS = 30_000

/** Time after which a request that waited too long is worth another try. */
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
	/** Bounds retries (default an empty one). */
	readonly budget?: RetryBudget
	/** Called once with the verdict of each request that was accepted. */
	readonly onRequestEnd: (requestId: string, verdict: Verdict) => void
}

/** What the caller server knows of a request that it accepts. */
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
 * Carries accepted requests from the queue to their end: waits for a start, sends attempts, passes
 * the answer on, and gives back what it holds.
 *
 * @public
 */
export class RequestManager<Unit = unknown> {
	readonly scheduler: Scheduler<Unit>
	private readonly requests = new Map<number, CallerRequest>()
	private readonly budget: RetryBudget
	private readonly log: RequestLogger
	private readonly ticks
	private lastId = 0
	private onIdle: () => void = () => undefined

	constructor(private readonly options: Options<Unit>) {
		this.log = new RequestLogger(options.logger)
		const { timers, allowances, slots, policy, getPeerLoad } = options
		this.budget = options.budget ?? new RetryBudget()
		this.scheduler = new Scheduler<Unit>({
			timers,
			allowances,
			slots: slots,
			policy,
			getPeerLoad,
			getWeights: () => this.getShares(),
			onStart: (start) => {
				this.start(start)
			},
			onExpired: (waiting) => {
				this.refuseLate(waiting)
			},
		})
		this.scheduler.onChange = (pool) => {
			slots.notifyChange(pool)
		}
		this.ticks = timers.every(TICK_MILLISECONDS, () => {
			this.scheduler.tick()
		})
	}

	/** Requests that wait or run. */
	get size(): number {
		return this.requests.size
	}

	/** Whether the queue takes one more request here. */
	canEnqueue(queue: Queue): boolean {
		return this.scheduler.queues.getQueueSize(queue.name) < queue.maximumQueued
	}

	/** Queues a request; its answer goes to the caller as soon as there is one. */
	submit(submission: Submission): void {
		const now = this.options.timers.now()
		const { queue, headers, request, response } = submission
		const timeout = Math.min(headers.startTimeout ?? Infinity, queue.timeoutMilliseconds)
		const waiting = this.createWaiting(submission, now + timeout)
		const row: CallerRequest = {
			...submission,
			contentType: request.headers['content-type'],
			attempts: new RequestAttempts({
				timers: this.options.timers,
				budget: this.budget,
				idempotent: headers.idempotent,
				deadline: now + timeout,
			}),
			acceptedAt: now,
			queueEntry: waiting,
			startedAt: undefined,
			running: undefined,
			hasEnded: false,
		}
		this.requests.set(waiting.id, row)
		response.once('close', () => {
			this.handleClose(row)
		})
		this.scheduler.submit(waiting)
	}

	/** Resolves once nothing waits or runs any more. */
	async waitUntilIdle(): Promise<void> {
		if (this.requests.size === 0) return
		await new Promise<void>((resolve) => {
			this.onIdle = resolve
		})
	}

	stop(): void {
		this.ticks.cancel()
	}

	private createWaiting(
		{ team, queue }: { team: TeamId; queue: Queue },
		startBy: Milliseconds
	): WaitingRequest {
		return {
			id: ++this.lastId,
			queue: queue.name,
			team,
			pool: queue.pool,
			urgency: queue.urgency,
			enqueuedAt: this.options.timers.now(),
			startDeadline: startBy,
		}
	}

	private start(start: RequestStart<Unit>): void {
		const row = this.requests.get(start.request.id)
		if (row) {
			row.startedAt ??= this.options.timers.now()
			void this.runAttempt(row, start)
			return
		}
		this.options.slots.release(start.server, start.request.pool, start.request.team)
		this.options.allowances.release(start.unit)
		this.scheduler.finish(start.request)
	}

	private async runAttempt(row: CallerRequest, start: RequestStart<Unit>): Promise<void> {
		const runEndsAt = this.options.timers.now() + row.queue.runMilliseconds
		row.attempts.start(start.server)
		const outcome = await this.send(row, start.server)
		row.running = undefined
		this.log.logAttemptEnd(row, start.server, outcome)
		const decision = row.attempts.end(outcome, { replayable: row.body.isReplayable })
		if (decision.type === 'final') this.end(row, decision.answer)
		else if (row.response.destroyed) {
			this.end(row, createFinalAnswer(outcome, row.attempts.verdict))
		}
		this.giveBack(start, outcome, runEndsAt)
		if (!row.hasEnded) this.requeue(row)
	}

	private send(row: CallerRequest, server: BackendServerId): Promise<AttemptOutcome> {
		const target = this.options.getState().backendServers.get(server)
		if (!target) return Promise.resolve({ type: 'reset-before-write' })
		const attempt = this.options.backends.send({
			server: target,
			method: row.request.method ?? 'POST',
			path: row.headers.path,
			headers: getAttemptHeaders(row),
			body: row.body.takePayload(),
			requestId: row.requestId,
			runTimeout: row.queue.runMilliseconds,
			bodyTimeout: BODY_TIMEOUT_MILLISECONDS,
			onHead: (status, headers) => {
				this.passHead(row, server, { status, headers })
			},
			onData: (chunk) => this.passData(row, chunk),
		})
		row.running = { server, attempt }
		return attempt.outcome
	}

	/** Lets the request wait for another slot, before those that came after it. */
	private requeue(row: CallerRequest): void {
		const deadline = row.queueEntry.startDeadline
		this.requests.delete(row.queueEntry.id)
		row.queueEntry = this.createWaiting(row, deadline)
		this.requests.set(row.queueEntry.id, row)
		this.scheduler.requeue(row.queueEntry)
	}

	/** What may still run at the backend server keeps its slot and allowance until its deadline. */
	private giveBack(
		start: RequestStart<Unit>,
		outcome: AttemptOutcome,
		runEndsAt: Milliseconds
	): void {
		const { request, server, unit } = start
		const { timers, slots, allowances } = this.options
		const act = (): void => {
			allowances.release(unit)
			slots.endUse({ pool: request.pool, team: request.team, server }, getSlotResult(outcome))
			this.scheduler.finish(request)
		}
		if (canStillRun(outcome)) timers.after(runEndsAt - timers.now(), act)
		else act()
	}

	private passHead(
		row: CallerRequest,
		server: BackendServerId,
		head: { status: number; headers: Readonly<Record<string, string | string[]>> }
	): void {
		const { response } = row
		if (row.hasEnded || response.headersSent) return
		const startedAt = row.startedAt ?? row.acceptedAt
		const now = this.options.timers.now()
		for (const [name, value] of Object.entries(head.headers)) response.setHeader(name, value)
		response.setHeader('mastichead-verdict', 'ran')
		response.setHeader('mastichead-request-id', row.requestId)
		response.setHeader('mastichead-backend-server', server)
		response.setHeader('mastichead-queued-milliseconds', Math.round(startedAt - row.acceptedAt))
		response.setHeader('mastichead-service-milliseconds', Math.round(now - startedAt))
		response.writeHead(head.status)
	}

	private passData(row: CallerRequest, chunk: Buffer): boolean {
		if (row.hasEnded) return true
		const hasRoom = row.response.write(chunk)
		if (!hasRoom) row.response.once('drain', () => row.running?.attempt.resume())
		return hasRoom
	}

	private end(row: CallerRequest, answer: FinalAnswer): void {
		if (row.hasEnded) return
		const { response, requestId, body } = row
		if (answer.type === 'answered') response.end()
		else if (body.failure === 'too-large') {
			sendErrorResponse(response, { ...bodyTooLarge, verdict: answer.verdict }, requestId)
		} else sendErrorResponse(response, answer, requestId)
		this.forget(row, answer.verdict)
	}

	private refuseLate(waiting: WaitingRequest): void {
		const row = this.requests.get(waiting.id)
		if (!row) return
		this.end(row, {
			type: 'failed',
			verdict: row.attempts.verdict,
			status: 503,
			error: 'deadline-exceeded',
			message: 'the request could not start in time',
			retryAfter: LATE_RETRY_AFTER_MILLISECONDS,
		})
	}

	/** The end of a running attempt ends the request, with the verdict of that attempt. */
	private handleClose(row: CallerRequest): void {
		if (row.hasEnded) return
		if (row.running) {
			row.running.attempt.cancel()
			return
		}
		this.scheduler.cancel(row.queueEntry)
		this.forget(row, row.attempts.verdict)
	}

	private forget(row: CallerRequest, verdict: Verdict): void {
		row.hasEnded = true
		this.requests.delete(row.queueEntry.id)
		const now = this.options.timers.now()
		const startedAt = row.startedAt
		this.options.metrics.recordRequest({
			team: row.team,
			queue: row.queue.name,
			verdict,
			waitMilliseconds: (startedAt ?? now) - row.acceptedAt,
			serviceMilliseconds: startedAt === undefined ? undefined : now - startedAt,
			totalMilliseconds: now - row.acceptedAt,
		})
		this.log.logRequestEnd(row, verdict, now - row.acceptedAt)
		this.options.onRequestEnd(row.requestId, verdict)
		if (this.requests.size === 0) this.onIdle()
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

function getAttemptHeaders(row: CallerRequest): Record<string, string> {
	const headers: Record<string, string> = {
		'mastichead-request-id': row.requestId,
		'mastichead-team': row.team,
		'mastichead-queue': row.queue.name,
		'mastichead-deadline-milliseconds': String(row.queue.runMilliseconds),
	}
	if (row.contentType !== undefined) headers['content-type'] = row.contentType
	const length = row.request.headers['content-length']
	if (length !== undefined) headers['content-length'] = length
	return headers
}
