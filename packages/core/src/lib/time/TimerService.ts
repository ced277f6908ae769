import type { Milliseconds } from './Milliseconds.js'
import type { Subscription } from './Subscription.js'

/**
 * Source of monotonic time and timers. Other code uses it instead of reading a clock, so that tests
 * can run in virtual time.
 *
 * @public
 */
export abstract class TimerService {
	/** Returns the current instant on a monotonic clock. */
	abstract now(): Milliseconds

	/**
	 * Calls `listener` once after `delay`.
	 *
	 * @param delay - milliseconds from now; negative values count as 0
	 */
	abstract after(delay: Milliseconds, listener: () => void): Subscription

	/** Calls `listener` every `interval` milliseconds until it is cancelled. */
	abstract every(interval: Milliseconds, listener: () => void): Subscription
}
