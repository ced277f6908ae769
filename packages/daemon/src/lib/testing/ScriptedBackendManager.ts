import type { AttemptOutcome, Milliseconds, TimerService } from '@mastichead/core'
import type { Attempt } from '../backends/Attempt.js'
import { BackendManager } from '../backends/BackendManager.js'
import type { RunningAttempt } from '../backends/RunningAttempt.js'

/**
 * Result of one attempt: the outcome that the daemon sees, and when the backend server runs it.
 *
 * @internal
 */
interface AttemptScript {
	readonly outcome: AttemptOutcome
	/** Delay until the outcome. */
	readonly after: Milliseconds
	/** Delay until the run at the backend server; undefined if it never runs. */
	readonly runAfter?: Milliseconds | undefined
}

interface Options {
	readonly timers: TimerService
	/** Returns the script of the next attempt. */
	readonly nextScript: () => AttemptScript
	/** Called when a backend server runs a request. */
	readonly onRun: (requestId: string) => void
}

/**
 * A fake backend manager in virtual time whose attempts follow a script.
 *
 * @internal
 */
export class ScriptedBackendManager extends BackendManager {
	/** Number of attempts sent. */
	attemptCount = 0
	/** Whether the daemon was killed: it sends no further attempts and receives no outcomes. */
	isKilled = false

	constructor(private readonly scriptOptions: Options) {
		super({ timers: scriptOptions.timers, getConnectionLimit: () => 8 })
	}

	override send(attempt: Attempt): RunningAttempt {
		const { timers, nextScript, onRun } = this.scriptOptions
		if (this.isKilled) return createRunningAttempt(new Promise(() => undefined))
		this.attemptCount++
		const { outcome, after, runAfter } = nextScript()
		if (runAfter !== undefined) {
			timers.after(runAfter, () => {
				onRun(attempt.requestId)
			})
		}
		let cancel: () => void = () => undefined
		const outcomePromise = new Promise<AttemptOutcome>((resolve) => {
			timers.after(after, () => {
				if (this.isKilled) return
				if (outcome.type === 'answered') attempt.onHead(outcome.status, {})
				resolve(outcome)
			})
			cancel = () => {
				resolve({ type: 'cancelled-after-write' })
			}
		})
		return createRunningAttempt(outcomePromise, cancel)
	}
}

function createRunningAttempt(
	outcome: Promise<AttemptOutcome>,
	cancel: () => void = () => undefined
): RunningAttempt {
	return { outcome, cancel, resume: () => undefined }
}
