import type { AttemptOutcome, Milliseconds, TimerService } from '@mastichead/core'
import type { Attempt } from '../backends/Attempt.js'
import { BackendManager } from '../backends/BackendManager.js'
import type { RunningAttempt } from '../backends/RunningAttempt.js'

/**
 * What becomes of one attempt: its outcome as the daemon sees it, and when the backend server ran it.
 *
 * @internal
 */
interface AttemptScript {
	readonly outcome: AttemptOutcome
	/** Time to the outcome. */
	readonly after: Milliseconds
	/** Time to the run at the backend server; absent when it never runs. */
	readonly runAfter?: Milliseconds | undefined
}

interface Options {
	readonly timers: TimerService
	/** Draws what becomes of the next attempt. */
	readonly nextScript: () => AttemptScript
	/** Called when a backend server runs a request. */
	readonly onRun: (requestId: string) => void
}

/**
 * Backend servers of a test in virtual time, behind the interface of the connections to them.
 *
 * @internal
 */
export class ScriptedBackendManager extends BackendManager {
	/** Attempts sent. */
	attemptCount = 0
	/** Set once the daemon was killed: nothing more is sent and no outcome arrives. */
	isKilled = false

	constructor(private readonly script: Options) {
		super({ timers: script.timers, getConnectionLimit: () => 8 })
	}

	override send(attempt: Attempt): RunningAttempt {
		const { timers, nextScript: draw, onRun } = this.script
		if (this.isKilled) return createRunningAttempt(new Promise(() => undefined))
		this.attemptCount++
		const { outcome, after, runAfter } = draw()
		if (runAfter !== undefined) {
			timers.after(runAfter, () => {
				onRun(attempt.requestId)
			})
		}
		let cancel: () => void = () => undefined
		const ended = new Promise<AttemptOutcome>((resolve) => {
			timers.after(after, () => {
				if (this.isKilled) return
				if (outcome.type === 'answered') attempt.onHead(outcome.status, {})
				resolve(outcome)
			})
			cancel = () => {
				resolve({ type: 'cancelled-after-write' })
			}
		})
		return createRunningAttempt(ended, cancel)
	}
}

function createRunningAttempt(
	ended: Promise<AttemptOutcome>,
	cancel: () => void = () => undefined
): RunningAttempt {
	return { outcome: ended, cancel, resume: () => undefined }
}
