import type { Subscription } from '@mastichead/core'
import { VirtualTimerService } from '@mastichead/core'

/**
 * Virtual timer service that counts pending timers.
 *
 * @internal
 */
export class CountingTimerService extends VirtualTimerService {
	/** Number of timers that have neither run nor been cancelled. */
	pendingCount = 0
	/** Milliseconds by which the clock is ahead of the timers, as in a process that was blocked. */
	lag = 0

	override now(): number {
		return super.now() + this.lag
	}

	override after(delay: number, listener: () => void): Subscription {
		let isPending = true
		const end = (): void => {
			if (isPending) this.pendingCount -= 1
			isPending = false
		}
		this.pendingCount += 1
		const timer = super.after(delay, () => {
			end()
			listener()
		})
		return {
			cancel: () => {
				end()
				timer.cancel()
			},
		}
	}
}
