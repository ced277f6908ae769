import type { Subscription, TimerService } from '@mastichead/core'
import type { IntakeRecord } from '../intake/IntakeRecord.js'
import type { WriteResult } from './WriteResult.js'

interface Waiter {
	readonly resolve: (result: WriteResult) => void
	readonly timer: Subscription
}

/**
 * A record that is to be written, and the callers that wait for it. Each caller gets a result by its
 * own deadline.
 *
 * @public
 */
export class PendingWrite {
	private readonly waiters = new Set<Waiter>()
	private isStarted = false

	constructor(
		readonly record: IntakeRecord,
		private readonly timers: TimerService
	) {}

	/** Whether a caller still waits for a result. */
	get isAwaited(): boolean {
		return this.waiters.size > 0
	}

	/**
	 * Resolves to the result of the write, or at the deadline.
	 *
	 * @param deadline - monotonic instant by which the caller needs a result
	 */
	wait(deadline: number): Promise<WriteResult> {
		return new Promise((resolve) => {
			const timer = this.timers.after(deadline - this.timers.now(), () => {
				this.waiters.delete(waiter)
				resolve(this.createTimeoutResult())
			})
			const waiter = { resolve, timer }
			this.waiters.add(waiter)
		})
	}

	/** Notes that the record is being appended from now on. */
	start(): void {
		this.isStarted = true
	}

	/** Passes a result to all callers that still wait. */
	settle(result: WriteResult): void {
		for (const { resolve, timer } of this.waiters) {
			timer.cancel()
			resolve(result)
		}
		this.waiters.clear()
	}

	/** Other callers that wait may still get the record written. */
	private createTimeoutResult(): WriteResult {
		if (this.isStarted || this.isAwaited) return { kind: 'unclear', reason: 'no answer in time' }
		return { kind: 'not-stored', reason: 'no time left to append' }
	}
}
