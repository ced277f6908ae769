import type { Milliseconds, QueueId } from '@mastichead/core'

/** Weight of a new value in the moving average. */
const NEWEST_WEIGHT = 0.05

/**
 * Tracks an exponential moving average of the service time of each queue, in bounded memory.
 *
 * @internal
 */
export class ServiceTimeAverages {
	private readonly means = new Map<QueueId, Milliseconds>()

	/** @param maximumQueues - maximum number of tracked queues; further ones are ignored */
	constructor(private readonly maximumQueues: number) {}

	record(queue: QueueId, service: Milliseconds): void {
		const mean = this.means.get(queue)
		if (mean === undefined && this.means.size >= this.maximumQueues) return
		this.means.set(queue, mean === undefined ? service : mean + (service - mean) * NEWEST_WEIGHT)
	}

	/** Returns the average of a queue; undefined before its first value. */
	get(queue: QueueId): Milliseconds | undefined {
		return this.means.get(queue)
	}
}
