import { TimerService } from '@mastichead/core'
import type { Subscription } from '@mastichead/core'

/**
 * Timer service of an instance whose process can be suspended or killed. The clock continues while
 * it is suspended, and timers that become due run when the process resumes.
 *
 * @internal
 */
export class PausableTimerService extends TimerService {
	private paused = false
	private killed = false
	private dueListeners: (() => void)[] = []

	constructor(private readonly base: TimerService) {
		super()
	}

	pause(): void {
		this.paused = true
	}

	/** Runs the listeners that became due while paused. */
	resume(): void {
		this.paused = false
		const { dueListeners } = this
		this.dueListeners = []
		for (const listener of dueListeners) listener()
	}

	/** Drops all timers for good: the process has been killed. */
	kill(): void {
		this.killed = true
		this.dueListeners = []
	}

	override now(): number {
		return this.base.now()
	}

	override after(delay: number, listener: () => void): Subscription {
		return this.subscribe((run) => this.base.after(delay, run), listener)
	}

	override every(interval: number, listener: () => void): Subscription {
		return this.subscribe((run) => this.base.every(interval, run), listener)
	}

	private subscribe(
		subscribe: (run: () => void) => Subscription,
		listener: () => void
	): Subscription {
		let cancelled = false
		const run = (): void => {
			if (!cancelled) listener()
		}
		const subscription = subscribe(() => {
			if (this.killed) return
			if (this.paused) this.dueListeners.push(run)
			else run()
		})
		return {
			cancel: () => {
				cancelled = true
				subscription.cancel()
			},
		}
	}
}
