import type { Milliseconds, PoolDemand } from '@mastichead/core'
import type { QueueDemand } from './QueueDemand.js'
import type { SimulatedArrival } from './SimulatedArrival.js'

/** Weight of the newest run in the moving average of run times. */
const NEWEST_RUN_WEIGHT = 0.02

/**
 * Queue of one pool and the number of its running requests.
 *
 * @internal
 */
export class SimulatedPool {
	/** Runnable requests dropped after their timeout, without those of the warm-up. */
	lateCount = 0
	/** Requests started, without those of the warm-up. */
	startedCount = 0
	/** Index of the next arrival. */
	private nextArrival = 0
	private waiting: SimulatedArrival[] = []
	private meanRunTime: Milliseconds
	running = 0

	constructor(
		readonly queue: QueueDemand,
		private readonly arrivals: readonly SimulatedArrival[]
	) {
		this.meanRunTime = queue.meanRunTime * 2
	}

	/** Queues new arrivals, and drops requests that were cancelled or waited too long. */
	advance(now: Milliseconds, isMeasured: boolean): void {
		for (; (this.arrivals[this.nextArrival]?.at ?? Infinity) <= now; this.nextArrival += 1) {
			const arrival = this.arrivals[this.nextArrival]
			if (arrival) this.waiting.push(arrival)
		}
		this.waiting = this.waiting.filter((arrival) => {
			if (arrival.cancelledAt <= now) return false
			if (now - arrival.at <= this.queue.timeout) return true
			if (isMeasured && arrival.isRunnable) this.lateCount += 1
			return false
		})
	}

	/** Starts the first runnable request, or returns undefined if none waits. */
	startNext(isMeasured: boolean): SimulatedArrival | undefined {
		const index = this.waiting.findIndex(({ isRunnable }) => isRunnable)
		if (index < 0) return undefined
		const [arrival] = this.waiting.splice(index, 1)
		if (isMeasured) this.startedCount += 1
		this.running += 1
		return arrival
	}

	/** Records the end of a run and updates the mean run time. */
	finishRun(runTime: Milliseconds): void {
		this.running -= 1
		this.meanRunTime += (runTime - this.meanRunTime) * NEWEST_RUN_WEIGHT
	}

	getDemand(): PoolDemand {
		const { queue: pool, timeout: tolerance } = this.queue
		const { running, meanRunTime } = this
		return {
			pool,
			running,
			queued: this.waiting.length,
			meanRunTime,
			toleratedWait: tolerance,
		}
	}
}
