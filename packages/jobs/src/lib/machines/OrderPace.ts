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
		if (this.ordersPerSecond === undefined) return
		this.refill()
		this.available -= 1
		if (this.available >= 0) return
		const delay = -this.available / this.perMillisecond
		await new Promise<void>((resolve) => {
			this.timers.after(delay, resolve)
		})
	}

	/** Returns how many further orders can be sent within a time, in milliseconds. */
	countWithin(time: number): number {
		if (this.ordersPerSecond === undefined) return Infinity
		this.refill()
		return Math.max(0, Math.floor(this.available + time * this.perMillisecond))
	}

	private refill(): void {
		const now = this.timers.now()
		const refilled = this.available + (now - this.countedAt) * this.perMillisecond
		this.available = Math.min(this.burst, refilled)
		this.countedAt = now
	}

	private get perMillisecond(): number {
		return ((this.ordersPerSecond ?? 0) * RATE_SHARE) / MILLISECONDS_PER_SECOND
	}

	private get burst(): number {
		return Math.max(1, (this.ordersPerSecond ?? 1) * BURST_SHARE)
	}
}
