import type { TimerService } from '@mastichead/core'
import type { Instant } from './Instant.js'

/**
 * Measures how long ago something happened for decisions that a suspended process must not make late.
 * The larger of two times counts: the monotonic clock misses the time in which the machine was
 * suspended, and the wall clock may be set back.
 *
 * @public
 */
export class SuspendAwareClock {
	constructor(
		private readonly timers: Pick<TimerService, 'now'>,
		private readonly getWallTime: () => number
	) {}

	now(): Instant {
		return { monotonic: this.timers.now(), wall: this.getWallTime() }
	}

	/** Returns the milliseconds since an instant. */
	getElapsed(since: Instant): number {
		const now = this.now()
		return Math.max(now.monotonic - since.monotonic, now.wall - since.wall)
	}
}
