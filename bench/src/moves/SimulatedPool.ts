import type { Milliseconds, PoolDemand } from '@mastichead/core'
import type { QueueDemand } from './QueueDemand.js'
import type { SimulatedArrival } from './SimulatedArrival.js'

/** Weight of the newest run in the measured mean. */
const NEWEST_WEIGHT = 0.02

/**
 * The queue of one pool and what runs for it.
 *
 * @internal
 */
export class SimulatedPool {
	late = 0
	done = 0
	private next = 0
	private waiting: SimulatedArrival[] = []
	private meanRun: Milliseconds
	running = 0

	constructor(
		readonly queue: QueueDemand,
		private readonly arrivals: readonly SimulatedArrival[]
	) {
		this.meanRun = queue.meanRun * 2
	}

	/** Takes in what arrived, and drops what was cancelled or waited too long. */
	advance(now: Milliseconds, isMeasured: boolean): void {
		for (; (this.arrivals[this.next]?.at ?? Infinity) <= now; this.next += 1) {
			const arrival = this.arrivals[this.next]
			if (arrival) this.waiting.push(arrival)
		}
		this.waiting = this.waiting.filter((arrival) => {
			if (arrival.cancelAt <= now) return false
			if (now - arrival.at <= this.queue.timeout) return true
			if (isMeasured && arrival.isRunnable) this.late += 1
			return false
		})
	}

	/** Takes the first request that can run; undefined when none waits. */
	take(isMeasured: boolean): SimulatedArrival | undefined {
		const index = this.waiting.findIndex(({ isRunnable }) => isRunnable)
		if (index < 0) return undefined
		const [arrival] = this.waiting.splice(index, 1)
		if (isMeasured) this.done += 1
		this.running += 1
		return arrival
	}

	/** Notes that a run ended. */
	end(run: Milliseconds): void {
		this.running -= 1
		this.meanRun += (run - this.meanRun) * NEWEST_WEIGHT
	}

	getDemand(): PoolDemand {
		const { queue: pool, timeout: tolerance } = this.queue
		const { running, meanRun } = this
		return {
			pool,
			running,
			queued: this.waiting.length,
			meanRunTime: meanRun,
			toleratedWait: tolerance,
		}
	}
}
