import type { Milliseconds } from './Milliseconds.js'
import type { Subscription } from './Subscription.js'
import { TimerService } from './TimerService.js'

/**
 * Timer service on the monotonic clock of the process. Its timers keep the process alive until they
 * have fired or are cancelled.
 *
 * @public
 */
export class SystemTimerService extends TimerService {
	override now(): Milliseconds {
		return performance.now()
	}

	override after(delay: Milliseconds, listener: () => void): Subscription {
		const handle = setTimeout(listener, Math.max(0, delay))
		return {
			cancel: () => {
				clearTimeout(handle)
			},
		}
	}

	override every(interval: Milliseconds, listener: () => void): Subscription {
		const handle = setInterval(listener, interval)
		return {
			cancel: () => {
				clearInterval(handle)
			},
		}
	}
}
