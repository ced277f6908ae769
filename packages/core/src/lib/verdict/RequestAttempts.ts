import { assert } from '../assert.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import type { AttemptDecision } from './AttemptDecision.js'
import type { AttemptOutcome } from './AttemptOutcome.js'
import { createFinalAnswer } from './createFinalAnswer.js'
import { getVerdict } from './getVerdict.js'
import { combineVerdicts } from './combineVerdicts.js'
import type { RetryBudget } from './RetryBudget.js'
import type { Verdict } from './Verdict.js'

/** Maximum attempts of one request, the first included. */
const DEFAULT_MAXIMUM_ATTEMPTS = 3

/**
 * Options of {@link RequestAttempts}.
 *
 * @internal
 */
interface Options {
	readonly timers: TimerService
	readonly budget: RetryBudget
	/** Whether the request can safely run more than once. */
	readonly idempotent: boolean
	/** Monotonic instant after which no attempt may start. */
	readonly deadline: Milliseconds
	/** Maximum number of attempts, the first included (default 3). */
	readonly maximumAttempts?: number
}

/**
 * Decides after each attempt at one request whether to retry or to give up.
 * An attempt that may have run is retried only if the request is idempotent.
 *
 * @example
 * ```ts
 * attempts.start('server-1')
 * const decision = attempts.end({ type: 'refused' }, { replayable: true })
 * ```
 *
 * @public
 */
export class RequestAttempts {
	/** Backend servers already tried; a retry must use another one. */
	readonly excluded = new Set<BackendServerId>()
	private readonly maximumAttempts: number
	private currentServer: BackendServerId | undefined
	private countedInBudget = false
	private attemptCount = 0
	private combinedVerdict: Verdict = 'not-run'
	private ended = false

	constructor(private readonly options: Options) {
		this.maximumAttempts = options.maximumAttempts ?? DEFAULT_MAXIMUM_ATTEMPTS
	}

	/** Number of attempts, the current one included; those without a free connection do not count. */
	get count(): number {
		return this.attemptCount
	}

	/** Combined verdict of the attempts that have ended. */
	get verdict(): Verdict {
		return this.combinedVerdict
	}

	/** Records the start of an attempt. */
	start(server: BackendServerId): void {
		assert(!this.ended, 'a request that has ended cannot be retried')
		assert(this.currentServer === undefined, 'the previous attempt has not ended')
		this.currentServer = server
		this.attemptCount++
		if (!this.countedInBudget) this.options.budget.addRequest()
		this.countedInBudget = true
	}

	/**
	 * Records the end of the current attempt and decides what to do next.
	 *
	 * @param request - `replayable`: whether the complete body can be sent again
	 */
	end(outcome: AttemptOutcome, request: { readonly replayable: boolean }): AttemptDecision {
		const server = this.currentServer
		assert(server !== undefined, 'no attempt has been started')
		this.currentServer = undefined
		if (outcome.type === 'connection-unavailable') return this.undoAttempt(outcome)
		this.excluded.add(server)
		this.combinedVerdict = combineVerdicts(this.combinedVerdict, getVerdict(outcome))
		if (this.canRetry(outcome, request.replayable)) return { type: 'retry' }
		return this.finish(outcome)
	}

	/** Undoes the count of an attempt that sent nothing; waiting takes no retry from the budget. */
	private undoAttempt(outcome: AttemptOutcome): AttemptDecision {
		this.attemptCount--
		if (this.options.timers.now() >= this.options.deadline) return this.finish(outcome)
		return { type: 'wait' }
	}

	private canRetry(outcome: AttemptOutcome, replayable: boolean): boolean {
		if (!isRetryable(outcome)) return false
		if (getVerdict(outcome) !== 'not-run' && !this.options.idempotent) return false
		if (!replayable) return false
		if (this.attemptCount >= this.maximumAttempts) return false
		if (this.options.timers.now() >= this.options.deadline) return false
		return this.options.budget.takeRetry()
	}

	private finish(outcome: AttemptOutcome): AttemptDecision {
		this.ended = true
		return { type: 'final', answer: createFinalAnswer(outcome, this.combinedVerdict) }
	}
}

/** Returns false once a response head was forwarded or the caller has disconnected. */
function isRetryable(outcome: AttemptOutcome): boolean {
	switch (outcome.type) {
		case 'connection-unavailable':
		case 'connection-refused':
		case 'connection-timeout':
		case 'refused':
		case 'reset-before-write':
		case 'reset-after-write':
		case 'head-timeout':
		case 'malformed-response':
			return true
		case 'truncated-response':
		case 'body-timeout':
		case 'answered':
		case 'cancelled-before-write':
		case 'cancelled-after-write':
			return false
	}
}
