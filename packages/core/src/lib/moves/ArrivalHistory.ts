import type { Milliseconds } from '../time/Milliseconds.js'
import type { PoolDemand } from './PoolDemand.js'

interface Sample {
	/** End of the sampled interval. */
	readonly at: Milliseconds
	readonly duration: Milliseconds
	/** Work that arrived minus work that was cancelled, in slot-milliseconds. */
	readonly work: number
}

/**
 * Tracks the work that arrived at a pool within a sliding window, and computes the capacity that would
 * have started all of it in time.
 *
 * @internal
 */
export class ArrivalHistory {
	private readonly samples: Sample[] = []
	private latest: { at: Milliseconds; requestsInSystem: number } | undefined

	/** @param window - time for which samples are kept */
	constructor(private readonly window: Milliseconds) {}

	/** Time between the first and the last sample. */
	get span(): Milliseconds {
		const first = this.samples[0]
		const last = this.samples.at(-1)
		return first && last ? last.at - first.at : 0
	}

	/**
	 * Adds a sample of the demand. The work that arrived is the growth of the requests in the system
	 * plus the work that was served since the previous sample.
	 */
	add(now: Milliseconds, { running, queued, meanRunTime }: PoolDemand): void {
		const requestsInSystem = running + queued
		if (this.latest && now > this.latest.at) {
			const duration = now - this.latest.at
			const work =
				(requestsInSystem - this.latest.requestsInSystem) * meanRunTime + running * duration
			this.samples.push({ at: now, duration, work })
		}
		this.latest = { at: now, requestsInSystem }
		while (this.samples[0] && now - this.samples[0].at > this.window) this.samples.shift()
	}

	/**
	 * Returns the fewest slots with which no request in the window would have waited longer than
	 * `toleratedWait`.
	 *
	 * @param granularity - slots of one backend server; the result is a multiple of it
	 */
	getRequiredSlots(toleratedWait: Milliseconds, granularity: number): number {
		let low = 0
		let high = 1
		while (!this.isSufficient(high * granularity, toleratedWait)) {
			low = high
			high *= 2
		}
		while (high - low > 1) {
			const middle = Math.floor((low + high) / 2)
			if (this.isSufficient(middle * granularity, toleratedWait)) high = middle
			else low = middle
		}
		return high * granularity
	}

	private isSufficient(slots: number, toleratedWait: Milliseconds): boolean {
		let backlog = 0
		for (const { duration, work } of this.samples) {
			backlog = Math.max(0, backlog + work - slots * duration)
			if (backlog > slots * toleratedWait) return false
		}
		return true
	}
}
