import type { TimerService } from '@mastichead/core'

const MILLISECONDS_PER_SECOND = 1_000
/** Share of a second's orders that may be sent at once. */
const BURST_SHARE = 0.25
/** Share of the rate at which orders are sent after that, so that no second exceeds it. */
const RATE_SHARE = 0.75

/**
 * Delays orders for machines so that the platform, which refuses those beyond a rate, takes all of them.
 *
 * @internal
 */
export class OrderPace {
	/** Orders that may be sent at once, as of `countedAt`. */
	private available: number
	private countedAt: number

	/**
	 * @param ordersPerSecond - rate that the platform accepts; undefined for no limit
	 */
	constructor(
		private readonly timers: TimerService,
		private readonly ordersPerSecond: number | undefined
	) {
		this.available = this.burst
		this.countedAt = timers.now()
	}

	/** Resolves when the next order may be sent, in the order of the calls. */
	async wait(): Promise<void> {
		const { ordersPerSecond } = this
		if (ordersPerSecond === undefined) return
		const now = this.timers.now()
		const perMillisecond = (ordersPerSecond * RATE_SHARE) / MILLISECONDS_PER_SECOND
		const elapsed = now - this.countedAt
		this.available = Math.min(this.burst, this.available + elapsed * perMillisecond) - 1
		this.countedAt = now
		if (this.available >= 0) return
		const delay = -this.available / perMillisecond
		await new Promise<void>((resolve) => {
			this.timers.after(delay, resolve)
		})
	}

	private get burst(): number {
		return Math.max(1, (this.ordersPerSecond ?? 1) * BURST_SHARE)
	}
}
