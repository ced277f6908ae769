import { TimerService } from '@mastichead/core'
import type { Subscription } from '@mastichead/core'

/**
 * Timer service of an instance whose process can be suspended. The clock continues meanwhile, and
 * timers that become due run when the process resumes.
 *
 * @internal
 */
export class PausableTimerService extends TimerService {
	private paused = false
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
