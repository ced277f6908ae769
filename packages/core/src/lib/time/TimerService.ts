import type { Milliseconds } from './Milliseconds.js'
import type { Subscription } from './Subscription.js'

/**
 * The only source of time. Parts subscribe to it and never read a clock themselves.
 *
 * @public
 */
export abstract class TimerService {
	/** Current instant of a monotonic clock. */
	abstract now(): Milliseconds

	/**
	 * Calls `listener` once after `delay`.
	 *
	 * @param delay - milliseconds from now; negative counts as 0
	 */
	abstract after(delay: Milliseconds, listener: () => void): Subscription

	/** Calls `listener` every `interval` milliseconds until cancelled. */
	abstract every(interval: Milliseconds, listener: () => void): Subscription
}
