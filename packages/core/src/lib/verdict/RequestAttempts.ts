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

/** Attempts at one request, the first included. */
const DEFAULT_MAXIMUM_ATTEMPTS = 3

/**
 * Options of {@link RequestAttempts}.
 *
 * @internal
 */
interface Options {
	readonly timers: TimerService
	readonly budget: RetryBudget
	/** Whether a run can be repeated without harm. */
	readonly idempotent: boolean
	/** Instant after which no attempt may start. */
	readonly deadline: Milliseconds
	/** Attempts at most, the first included (default 3). */
	readonly maximumAttempts?: number
}

/**
 * Decides after each attempt at one request whether to try again or to give up.
 * An attempt that may have run is repeated only when the request is idempotent.
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
	/** Backend servers already tried; a retry goes to another one. */
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

	/** Attempts that reached out to a backend server, the running one included. */
	get count(): number {
		return this.attemptCount
	}

	/** Joined verdict of the attempts that ended. */
	get verdict(): Verdict {
		return this.combinedVerdict
	}

	/** Notes the start of an attempt. */
	start(server: BackendServerId): void {
		assert(!this.ended, 'an ended request is not tried again')
		assert(this.currentServer === undefined, 'one attempt runs at a time')
		this.currentServer = server
		this.attemptCount++
		if (!this.countedInBudget) this.options.budget.addRequest()
		this.countedInBudget = true
	}

	/**
	 * Notes the end of the running attempt and decides what follows.
	 *
	 * @param request - `replayable`: whether the whole body can still be sent again
	 */
	end(outcome: AttemptOutcome, request: { readonly replayable: boolean }): AttemptDecision {
		const server = this.currentServer
		assert(server !== undefined, 'an attempt is running')
		this.currentServer = undefined
		if (outcome.type === 'connection-unavailable') return this.undoAttempt(outcome)
		this.excluded.add(server)
		this.combinedVerdict = combineVerdicts(this.combinedVerdict, getVerdict(outcome))
		if (this.canRetry(outcome, request.replayable)) return { type: 'retry' }
		return this.finish(outcome)
	}

	/** Nothing left this process, so the attempt counts neither for the budget nor for the bound. */
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

/** Once the head of an answer was passed on, or the caller is gone, there is nobody to retry for. */
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
