import type { Subscription, TimerService } from '@mastichead/core'
import type { AppendResult } from '../ports/AppendResult.js'
import type { WriteResult } from './WriteResult.js'

/**
 * Writes a batch of records: appends a further copy when an append is not answered in time, or fails. A
 * rejected append is repeated only after that time, since the log would reject the next one as well.
 *
 * @public
 */
export class BatchWrite {
	private startedCount = 0
	private endedCount = 0
	private unknownReason: string | undefined
	private rejectedReason = ''
	private hedgeTimer: Subscription | undefined
	/** Ends the write with a result; undefined before the start and after the end. */
	private settle: ((result: WriteResult) => void) | undefined

	constructor(
		private readonly options: {
			/** Maximum number of appends. */
			readonly attempts: number
			readonly append: () => Promise<AppendResult>
			/** Returns the milliseconds after which an append that has not succeeded is repeated. */
			readonly getHedgeDelay: () => number
			/** Whether a caller still waits for the result. */
			readonly isAwaited: () => boolean
			readonly timers: TimerService
		}
	) {}

	/**
	 * Starts the write.
	 *
	 * @param timeout - milliseconds after which the write ends
	 */
	start(timeout: number): Promise<WriteResult> {
		return new Promise((resolve) => {
			const timer = this.options.timers.after(timeout, () => {
				this.settleAsFailed()
			})
			this.settle = (result) => {
				this.settle = undefined
				timer.cancel()
				this.hedgeTimer?.cancel()
				resolve(result)
			}
			this.tryNext()
		})
	}

	private tryNext(): void {
		const { append, getHedgeDelay, timers } = this.options
		if (!this.settle) return
		if (!this.mayTryNext) {
			if (this.startedCount === this.endedCount) this.settleAsFailed()
			return
		}
		this.startedCount += 1
		const attempt = this.startedCount
		this.hedgeTimer?.cancel()
		this.hedgeTimer = timers.after(getHedgeDelay(), () => {
			this.tryNext()
		})
		void append().then((result) => {
			this.recordResult(attempt, result)
		})
	}

	private get mayTryNext(): boolean {
		return this.startedCount < this.options.attempts && this.options.isAwaited()
	}

	private recordResult(attempt: number, result: AppendResult): void {
		this.endedCount += 1
		if (result.kind === 'appended') {
			this.settle?.({ kind: 'stored' })
			return
		}
		if (result.kind === 'unknown') {
			this.unknownReason = result.reason
			// Only the latest attempt starts the next one.
			if (this.startedCount === attempt) this.tryNext()
		} else this.rejectedReason = result.reason
		if (this.startedCount === this.endedCount && !this.mayTryNext) this.settleAsFailed()
	}

	/** Ends the write as `not-stored` only if every append that was started has been rejected. */
	private settleAsFailed(): void {
		if (this.unknownReason !== undefined) {
			this.settle?.({ kind: 'unclear', reason: this.unknownReason })
		} else if (this.endedCount < this.startedCount) {
			this.settle?.({ kind: 'unclear', reason: 'no answer in time' })
		} else {
			this.settle?.({ kind: 'not-stored', reason: this.rejectedReason })
		}
	}
}
