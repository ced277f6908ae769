import type { Milliseconds } from '../time/Milliseconds.js'
import type { PoolDemand } from './PoolDemand.js'

interface Sample {
	readonly at: Milliseconds
	readonly duration: Milliseconds
	/** Slot-milliseconds of work that came in, less what was cancelled. */
	readonly work: number
}

/**
 * Work that arrived at a pool within a window, and the capacity that would have started all of it
 * in time.
 *
 * @internal
 */
export class ArrivalHistory {
	private readonly samples: Sample[] = []
	private last: { at: Milliseconds; inSystem: number } | undefined

	/** @param window - how long samples are kept */
	constructor(private readonly window: Milliseconds) {}

	/** Time that the samples span. */
	get span(): Milliseconds {
		const first = this.samples[0]
		const last = this.samples.at(-1)
		return first && last ? last.at - first.at : 0
	}

	/** Adds the demand at an instant. Arrivals are what is in the system more than before, and what was served. */
	add(now: Milliseconds, { running, queued, meanRunTime: meanRun }: PoolDemand): void {
		const inSystem = running + queued
		if (this.last && now > this.last.at) {
			const duration = now - this.last.at
			const work = (inSystem - this.last.inSystem) * meanRun + running * duration
			this.samples.push({ at: now, duration, work })
		}
		this.last = { at: now, inSystem }
		while (this.samples[0] && now - this.samples[0].at > this.window) this.samples.shift()
	}

	/**
	 * Slots with which no request of the window would have waited longer than `tolerance`.
	 *
	 * @param granularity - slots of one backend server; the answer is a multiple of it
	 */
	getRequiredSlots(tolerance: Milliseconds, granularity: number): number {
		let low = 0
		let high = 1
		while (!this.isSufficient(high * granularity, tolerance)) {
			low = high
			high *= 2
		}
		while (high - low > 1) {
			const middle = Math.floor((low + high) / 2)
			if (this.isSufficient(middle * granularity, tolerance)) high = middle
			else low = middle
		}
		return high * granularity
	}

	private isSufficient(slots: number, tolerance: Milliseconds): boolean {
		let backlog = 0
		for (const { duration, work } of this.samples) {
			backlog = Math.max(0, backlog + work - slots * duration)
			if (backlog > slots * tolerance) return false
		}
		return true
	}
}
