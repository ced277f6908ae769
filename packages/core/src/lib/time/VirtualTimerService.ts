import type { Milliseconds } from './Milliseconds.js'
import type { Subscription } from './Subscription.js'
import { TimerService } from './TimerService.js'

interface Timer {
	readonly order: number
	readonly listener: () => void
	readonly interval: Milliseconds | undefined
	due: Milliseconds
}

/**
 * Timer service whose clock only moves when `advance` is called, for tests and the bench.
 * Timers due at the same instant run in the order of their creation.
 *
 * @public
 */
export class VirtualTimerService extends TimerService {
	private currentTime: Milliseconds = 0
	private timerCount = 0
	private readonly timers = new Set<Timer>()

	override now(): Milliseconds {
		return this.currentTime
	}

	override after(delay: Milliseconds, listener: () => void): Subscription {
		return this.add(Math.max(0, delay), undefined, listener)
	}

	override every(interval: Milliseconds, listener: () => void): Subscription {
		return this.add(interval, interval, listener)
	}

	/** Moves the clock by `duration` milliseconds and runs every timer that becomes due. */
	advance(duration: Milliseconds): void {
		const end = this.currentTime + duration
		for (let timer = this.findNextDue(end); timer; timer = this.findNextDue(end)) {
			this.currentTime = timer.due
			this.run(timer)
		}
		this.currentTime = end
	}

	private add(
		delay: Milliseconds,
		interval: Milliseconds | undefined,
		listener: () => void
	): Subscription {
		const timer: Timer = {
			order: this.timerCount++,
			listener,
			interval,
			due: this.currentTime + delay,
		}
		this.timers.add(timer)
		return {
			cancel: () => {
				this.timers.delete(timer)
			},
		}
	}

	private findNextDue(end: Milliseconds): Timer | undefined {
		let next: Timer | undefined
		for (const timer of this.timers) {
			if (timer.due > end) continue
			if (!next || timer.due < next.due || (timer.due === next.due && timer.order < next.order)) {
				next = timer
			}
		}
		return next
	}

	private run(timer: Timer): void {
		if (timer.interval === undefined) this.timers.delete(timer)
		else timer.due += timer.interval
		timer.listener()
	}
}
